// Declarations.h - Reads the tree of settings from YAML files.

#ifndef FIGSAIL_DECLARATIONS_H
#define FIGSAIL_DECLARATIONS_H

#include "figsail/Configuration.h"

#include <map>
#include <string>
#include <variant>
#include <vector>

namespace figsail {

/// A place in a declaration file.
struct SourceLocation {
  std::string File;
  int Line = 0; ///< Counts from 1; 0: the whole file.
};

/// One node as declared.
struct DeclaredNode {
  NodeKind Kind = NodeKind::Group;
  SettingMap Settings;
  SourceLocation Location;
  std::map<std::string, SourceLocation> SettingLocations; ///< By name.
};

/// All nodes of a set of files, by path.
using DeclaredTree = std::map<std::string, DeclaredNode>;

/// What is wrong in a declaration file.
struct DeclarationError {
  SourceLocation Location;
  std::string Path; ///< Node at fault, or empty.
  std::string Text; ///< What is wrong.
};

/// Returns "FILE:LINE: PATH: TEXT".
std::string describe(const DeclarationError &Error);

/// Reads and checks files as one tree. Returns the tree, or all errors in the
/// order of files and lines. The nested mappings are:
///   groups:          NAME: {settings, groups, workspaces}
///   workspaces:      NAME: {settings, services}
///   services:        NAME: {settings, routes}
///   routes:          NAME: {settings}
///   failure_domains: NAME: {settings}
///   backend_servers: HOST: {settings}
/// A setting is a scalar; a list of regions may also be a sequence.
std::variant<DeclaredTree, std::vector<DeclarationError>>
readDeclarations(const std::vector<std::string> &Files);

/// Returns the edits that bring a tree to the declared one. Nodes that are not
/// declared stay, or, with Prune, go; failure domains and backend servers
/// always stay, and their state changes only when in_service is declared, so
/// that publishing never ends a take-out by accident.
std::vector<NodeEdit> computeEdits(const DeclaredTree &Declared,
                                   const Configuration &Current, bool Prune);

} // namespace figsail

#endif // FIGSAIL_DECLARATIONS_H
