// Declarations.h - Reader for configuration declared in YAML files.

#ifndef FIGSAIL_DECLARATIONS_H
#define FIGSAIL_DECLARATIONS_H

#include "figsail/Configuration.h"

#include <map>
#include <string>
#include <variant>
#include <vector>

namespace figsail {

/// Position in a declaration file.
struct SourceLocation {
  std::string File;
  int Line = 0; ///< Counts from 1; 0 for the whole file.
};

/// Node of the configuration tree as a file declares it.
struct DeclaredNode {
  NodeKind Kind = NodeKind::Group;
  SettingMap Settings;
  SourceLocation Location;
  std::map<std::string, SourceLocation> SettingLocations; ///< By setting name.
};

/// Nodes declared by a set of files, by path.
using DeclaredTree = std::map<std::string, DeclaredNode>;

/// Error in a declaration file.
struct DeclarationError {
  SourceLocation Location;
  std::string Path; ///< Of the invalid node; may be empty.
  std::string Text;
};

/// Returns "FILE:LINE: PATH: TEXT".
std::string describe(const DeclarationError &Error);

/// Reads files into one tree and checks it. Returns the tree, or all errors in
/// the order of files and lines. A file consists of these nested mappings:
///   groups:          NAME: {settings, groups, workspaces}
///   workspaces:      NAME: {settings, services}
///   services:        NAME: {settings, routes}
///   routes:          NAME: {settings}
///   failure_domains: NAME: {settings}
///   backend_servers: HOST: {settings}
/// A setting is a scalar; a list of regions may also be a sequence.
std::variant<DeclaredTree, std::vector<DeclarationError>>
readDeclarations(const std::vector<std::string> &Files);

/// Returns the edits that change the current configuration to the declared one.
/// Prune also removes undeclared nodes, except failure domains and backend
/// servers. A declared failure domain or backend server without settings leaves
/// the current one as it is. Publishing therefore doesn't accidentally bring a
/// target back that an operator took out of service.
std::vector<NodeEdit> computeEdits(const DeclaredTree &Declared,
                                   const Configuration &Current, bool Prune);

} // namespace figsail

#endif // FIGSAIL_DECLARATIONS_H
