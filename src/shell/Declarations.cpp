// Declarations.cpp - Reader for configuration declared in YAML files.

#include "Declarations.h"

#include <algorithm>
#include <array>
#include <optional>
#include <tuple>
#include <yaml-cpp/yaml.h>

namespace figsail {

// Aliases can make a YAML document contain itself or expand without bound.
static constexpr int MaxDepth = 32;
static constexpr std::size_t MaxNodes = 200000;

namespace {

/// Mapping key under which child nodes of one kind are declared.
struct Section {
  std::string_view Key;
  NodeKind Kind;
};

/// Reader that adds the nodes of one file to a tree shared by all files.
class FileReader {
public:
  FileReader(std::string File, DeclaredTree &Tree,
             std::vector<DeclarationError> &Errors)
      : File(std::move(File)), Tree(Tree), Errors(Errors) {}

  void read() {
    try {
      YAML::Node Document = YAML::LoadFile(File);
      if (!Document.IsNull())
        readNode(Document, "", std::nullopt, 0);
    } catch (const YAML::BadFile &) {
      DeclarationError Unreadable;
      Unreadable.Location.File = File;
      Unreadable.Text = "the file cannot be read";
      Errors.push_back(std::move(Unreadable));
    } catch (const YAML::Exception &Error) {
      Errors.push_back({locationOf(Error.mark), "", "YAML: " + Error.msg});
    }
  }

private:
  SourceLocation locationOf(const YAML::Mark &Mark) const {
    return {File, Mark.is_null() ? 0 : Mark.line + 1};
  }

  void addError(const YAML::Node &Node, const std::string &Path,
                std::string Text) {
    Errors.push_back({locationOf(Node.Mark()), Path, std::move(Text)});
  }

  static std::vector<Section> sections(std::optional<NodeKind> Kind) {
    if (!Kind)
      return {{"groups", NodeKind::Group},
              {"workspaces", NodeKind::Workspace},
              {"failure_domains", NodeKind::FailureDomain},
              {"backend_servers", NodeKind::BackendServer}};
    if (*Kind == NodeKind::Group)
      return {{"groups", NodeKind::Group}, {"workspaces", NodeKind::Workspace}};
    if (*Kind == NodeKind::Workspace)
      return {{"services", NodeKind::Service}};
    if (*Kind == NodeKind::Service)
      return {{"routes", NodeKind::Route}};
    return {};
  }

  static std::string childPath(const std::string &Path, NodeKind Kind,
                               const std::string &Name) {
    if (Kind == NodeKind::FailureDomain)
      return failureDomainPath(Name);
    if (Kind == NodeKind::BackendServer)
      return backendServerPath(Name);
    return Path + "/" + Name;
  }

  /// Reads the settings and sections of a node, or of the top level of the file
  /// if Kind is empty.
  void readNode(const YAML::Node &Node, const std::string &Path,
                std::optional<NodeKind> Kind, int Depth) {
    if (Node.IsNull())
      return;
    if (!Node.IsMap()) {
      addError(Node, Path, "expected a mapping");
      return;
    }
    if (Depth > MaxDepth) {
      addError(Node, Path, "the nodes are nested too deeply");
      return;
    }
    std::vector<Section> Allowed = sections(Kind);
    std::vector<std::string> UsedKeys;
    for (const auto &Item : Node) {
      if (!checkKey(Item.first, Path, UsedKeys))
        continue;
      const std::string &Key = Item.first.Scalar();
      auto Found = std::ranges::find(Allowed, Key, &Section::Key);
      if (Found != Allowed.end())
        readSection(Item.second, Path, Found->Kind, Depth + 1);
      else if (Key == "settings" && Kind)
        readSettings(Item.second, Path);
      else
        addError(Item.first, Path, unknownKey(Key, Kind, Allowed));
    }
  }

  bool checkKey(const YAML::Node &Key, const std::string &Path,
                std::vector<std::string> &UsedKeys) {
    if (!Key.IsScalar()) {
      addError(Key, Path, "a key must be a plain name");
      return false;
    }
    if (std::ranges::find(UsedKeys, Key.Scalar()) != UsedKeys.end()) {
      addError(Key, Path, "duplicate key \"" + Key.Scalar() + "\"");
      return false;
    }
    UsedKeys.push_back(Key.Scalar());
    return true;
  }

  static std::string unknownKey(const std::string &Key,
                                std::optional<NodeKind> Kind,
                                const std::vector<Section> &Allowed) {
    std::string Text = "unknown key \"" + Key + "\"; allowed:";
    if (Kind)
      Text += " settings";
    for (const Section &Child : Allowed)
      Text.append(" ").append(Child.Key);
    return Text;
  }

  void readSection(const YAML::Node &Node, const std::string &Path,
                   NodeKind Kind, int Depth) {
    if (Node.IsNull())
      return;
    if (!Node.IsMap()) {
      addError(Node, Path, "expected a mapping from names to nodes");
      return;
    }
    for (const auto &Item : Node) {
      if (!Item.first.IsScalar()) {
        addError(Item.first, Path, "a key must be a plain name");
        continue;
      }
      std::string Child = childPath(Path, Kind, Item.first.Scalar());
      if (Tree.size() >= MaxNodes) {
        addError(Item.first, Child, "the files declare too many nodes");
        return;
      }
      DeclaredNode Declared;
      Declared.Kind = Kind;
      Declared.Location = locationOf(Item.first.Mark());
      auto [Existing, Inserted] = Tree.emplace(Child, Declared);
      if (!Inserted) {
        const SourceLocation &FirstLocation = Existing->second.Location;
        addError(Item.first, Child,
                 "duplicate node; first declared at " + FirstLocation.File +
                     ":" + std::to_string(FirstLocation.Line));
        continue;
      }
      readNode(Item.second, Child, Kind, Depth);
    }
  }

  void readSettings(const YAML::Node &Node, const std::string &Path) {
    if (Node.IsNull())
      return;
    if (!Node.IsMap()) {
      addError(Node, Path, "settings must be a mapping from names to values");
      return;
    }
    DeclaredNode &Declared = Tree.at(Path);
    std::vector<std::string> UsedKeys;
    for (const auto &Item : Node) {
      if (!checkKey(Item.first, Path, UsedKeys))
        continue;
      const std::string &Name = Item.first.Scalar();
      std::optional<std::string> Value = readValue(Item.second);
      if (!Value) {
        addError(Item.first, Path, "setting \"" + Name + "\" needs a value");
        continue;
      }
      Declared.Settings.emplace(Name, std::move(*Value));
      Declared.SettingLocations.emplace(Name, locationOf(Item.first.Mark()));
    }
  }

  /// Returns a scalar as text, and a sequence of scalars joined by commas.
  static std::optional<std::string> readValue(const YAML::Node &Node) {
    if (Node.IsScalar())
      return Node.Scalar();
    if (!Node.IsSequence())
      return std::nullopt;
    std::string List;
    for (const YAML::Node &Item : Node) {
      if (!Item.IsScalar())
        return std::nullopt;
      List += List.empty() ? "" : ",";
      List += Item.Scalar();
    }
    return List;
  }

  std::string File;
  DeclaredTree &Tree;
  std::vector<DeclarationError> &Errors;
};

} // namespace

std::string describe(const DeclarationError &Error) {
  std::string Text = Error.Location.File;
  if (Error.Location.Line > 0)
    Text += ":" + std::to_string(Error.Location.Line);
  if (!Error.Path.empty())
    Text.append(": ").append(Error.Path);
  return Text.append(": ").append(Error.Text);
}

/// Checks the tree as if it were published to an empty configuration.
static void checkTree(const DeclaredTree &Tree,
                      std::vector<DeclarationError> &Errors) {
  if (Tree.empty())
    return;
  Change Proposal{"declarations", computeEdits(Tree, Configuration(), false)};
  for (const Rejection &Rejected : Configuration().findRejections(Proposal)) {
    auto Found = Tree.find(Rejected.Path);
    SourceLocation Location;
    if (Found != Tree.end()) {
      auto Setting = Found->second.SettingLocations.find(Rejected.Setting);
      Location = Setting == Found->second.SettingLocations.end()
                     ? Found->second.Location
                     : Setting->second;
    }
    Errors.push_back({Location, Rejected.Path, Rejected.Reason});
  }
}

std::variant<DeclaredTree, std::vector<DeclarationError>>
readDeclarations(const std::vector<std::string> &Files) {
  DeclaredTree Tree;
  std::vector<DeclarationError> Errors;
  for (const std::string &File : Files)
    FileReader(File, Tree, Errors).read();
  checkTree(Tree, Errors);
  if (Errors.empty())
    return Tree;
  auto SortKey = [&](const DeclarationError &Error) {
    return std::pair(std::ranges::find(Files, Error.Location.File) -
                         Files.begin(),
                     Error.Location.Line);
  };
  std::ranges::stable_sort(Errors, {}, SortKey);
  return Errors;
}

std::vector<NodeEdit> computeEdits(const DeclaredTree &Declared,
                                   const Configuration &Current, bool Prune) {
  auto IsServiceTarget = [](NodeKind Kind) {
    return Kind == NodeKind::FailureDomain || Kind == NodeKind::BackendServer;
  };
  std::vector<NodeEdit> Edits;
  for (const auto &[Path, Node] : Declared) {
    NodeEdit Edit{Path, Node.Kind, false, Node.Settings, NoOffset};
    auto Found = Current.nodes().find(Path);
    if (Found != Current.nodes().end()) {
      if (Found->second.Kind == Node.Kind &&
          Found->second.Settings == Node.Settings)
        continue;
      if (IsServiceTarget(Node.Kind) && Node.Settings.empty())
        continue;
      Edit.ExpectedVersion = Found->second.Version;
    }
    Edits.push_back(std::move(Edit));
  }
  if (!Prune)
    return Edits;
  for (const auto &[Path, Node] : Current.nodes())
    if (!Declared.contains(Path) && !IsServiceTarget(Node.Kind))
      Edits.push_back({Path, Node.Kind, true, {}, Node.Version});
  return Edits;
}

} // namespace figsail
