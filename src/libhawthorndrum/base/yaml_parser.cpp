/// Builds the tree from yaml-cpp's events, because yaml-cpp's nodes lack the locations of keys and
/// resolve aliases silently.
#include "base/yaml_parser.h"

#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/exceptions.h>
#include <yaml-cpp/parser.h>

#include <algorithm>
#include <sstream>

namespace hawthorndrum {
namespace {

/** Thrown to abort a parse; caught in ParseYaml. */
struct parse_aborted {};

class tree_builder : public YAML::EventHandler {
 public:
  tree_builder(const std::string& file, findings& found) : file_(file), found_(found) {}

  yaml_node TakeRoot() { return std::move(root_); }

  void OnDocumentStart(const YAML::Mark& mark) override {}
  void OnDocumentEnd() override {}

  void OnNull(const YAML::Mark& mark, YAML::anchor_t anchor) override {
    CheckAnchor(mark, anchor);
    AddNode(MakeNode(yaml_kind::kNull, mark));
  }

  void OnAlias(const YAML::Mark& mark, YAML::anchor_t /*anchor*/) override {
    Abort(mark, "aliases are not allowed", "write the value out");
  }

  void OnScalar(const YAML::Mark& mark, const std::string& tag, YAML::anchor_t anchor,
                const std::string& value) override {
    CheckAnchor(mark, anchor);
    CheckTag(mark, tag);
    const bool plain_null = tag == "?" && (value == "~" || value == "null");
    yaml_node node = MakeNode(plain_null ? yaml_kind::kNull : yaml_kind::kScalar, mark);
    node.text = value;
    AddNode(std::move(node));
  }

  void OnSequenceStart(const YAML::Mark& mark, const std::string& tag, YAML::anchor_t anchor,
                       YAML::EmitterStyle::value /*style*/) override {
    Open(yaml_kind::kList, mark, tag, anchor);
  }
  void OnSequenceEnd() override { Close(); }

  void OnMapStart(const YAML::Mark& mark, const std::string& tag, YAML::anchor_t anchor,
                  YAML::EmitterStyle::value /*style*/) override {
    Open(yaml_kind::kMap, mark, tag, anchor);
  }
  void OnMapEnd() override { Close(); }

  source_location LocationOf(const YAML::Mark& mark) const {
    return source_location{file_, std::max(mark.line, 0) + 1, std::max(mark.column, 0) + 1};
  }

 private:
  /** A list or map whose end has not been reached. */
  struct open_node {
    yaml_node node;
    /** Whether a key of the map was read but not yet its value. */
    bool has_key = false;
    std::string key;
    source_location key_location;
  };

  yaml_node MakeNode(yaml_kind kind, const YAML::Mark& mark) {
    nodes_ += 1;
    if (nodes_ > kMaxYamlNodes) Abort(mark, "too many values in one file", "split the file");
    yaml_node node;
    node.kind = kind;
    node.where = LocationOf(mark);
    return node;
  }

  void CheckAnchor(const YAML::Mark& mark, YAML::anchor_t anchor) {
    if (anchor != 0) found_.Add(LocationOf(mark), "anchors are not allowed", "write the value out");
  }

  void CheckTag(const YAML::Mark& mark, const std::string& tag) {
    if (tag.empty() || tag == "?" || tag == "!") return;
    found_.Add(LocationOf(mark), "tags are not allowed", "remove \"" + tag + "\"");
  }

  void Open(yaml_kind kind, const YAML::Mark& mark, const std::string& tag, YAML::anchor_t anchor) {
    CheckAnchor(mark, anchor);
    CheckTag(mark, tag);
    if (open_.size() >= kMaxYamlDepth) Abort(mark, "nested too deeply", {});
    open_.push_back(open_node{MakeNode(kind, mark), false, {}, {}});
  }

  void Close() {
    yaml_node node = std::move(open_.back().node);
    open_.pop_back();
    AddNode(std::move(node));
  }

  void AddNode(yaml_node node) {
    if (open_.empty()) {
      root_ = std::move(node);
      return;
    }
    open_node& parent = open_.back();
    if (parent.node.kind == yaml_kind::kList) {
      parent.node.items.push_back(std::move(node));
      return;
    }
    if (!parent.has_key) {
      SetKey(parent, node);
      return;
    }
    AddMember(parent, std::move(node));
  }

  void SetKey(open_node& parent, const yaml_node& node) {
    if (node.kind != yaml_kind::kScalar) found_.Add(node.where, "a key must be plain text");
    parent.has_key = true;
    parent.key = node.text;
    parent.key_location = node.where;
  }

  void AddMember(open_node& parent, yaml_node value) {
    parent.has_key = false;
    for (const yaml_member& member : parent.node.members) {
      if (member.key != parent.key) continue;
      found_.Add(parent.key_location, "key \"" + parent.key + "\" is given twice",
                 "first on line " + std::to_string(member.where.line));
      return;
    }
    parent.node.members.push_back({parent.key, parent.key_location, std::move(value)});
  }

  [[noreturn]] void Abort(const YAML::Mark& mark, std::string message, std::string hint) {
    found_.Add(LocationOf(mark), std::move(message), std::move(hint));
    throw parse_aborted();
  }

  const std::string& file_;
  findings& found_;
  yaml_node root_;
  std::vector<open_node> open_;
  std::size_t nodes_ = 0;
};

/** Returns the location of the first control character that YAML forbids, or one with line 0. */
source_location FindControlCharacter(const std::string& file, std::string_view text) {
  source_location location{file, 1, 1};
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    const bool allowed = byte >= 0x20 || c == '\n' || c == '\t' || c == '\r';
    if (!allowed || byte == 0x7f) return location;
    location.column += 1;
    if (c == '\n') location = source_location{file, location.line + 1, 1};
  }
  return source_location{file, 0, 0};
}

}  // namespace

yaml_node ParseYaml(const std::string& file, std::string_view text, findings& found) {
  if (text.size() > kMaxYamlBytes) {
    found.Add(source_location{file, 1, 1},
              "larger than " + std::to_string(kMaxYamlBytes / 1024) + " KiB", "split the file");
    return {};
  }
  const source_location control = FindControlCharacter(file, text);
  if (control.line != 0) {
    found.Add(control, "control character", "save the file as UTF-8 text");
    return {};
  }
  tree_builder builder(file, found);
  try {
    std::istringstream stream{std::string(text)};
    YAML::Parser parser(stream);
    if (!parser.HandleNextDocument(builder)) {
      found.Add(source_location{file, 1, 1}, "the file is empty");
      return {};
    }
    yaml_node root = builder.TakeRoot();
    tree_builder rest(file, found);
    if (parser.HandleNextDocument(rest)) {
      found.Add(rest.TakeRoot().where, "a second document", "keep one document a file");
    }
    return root;
  } catch (const YAML::Exception& problem) {
    found.Add(builder.LocationOf(problem.mark), problem.msg);
  } catch (const parse_aborted&) {
    return {};
  }
  return {};
}

}  // namespace hawthorndrum
