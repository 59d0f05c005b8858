/// Collects, checks and applies the parts of a generation.
#include "systems/config_assembler.h"

#include "systems/config_codec.h"

namespace hawthorndrum {
namespace {

std::shared_ptr<const service_config> Share(service_config config) {
  return std::make_shared<const service_config>(std::move(config));
}

}  // namespace

expected<config_head> config_assembler::Begin(std::string_view head_bytes,
                                              const config_tree& present) {
  Drop();
  expected<config_head> head = DecodeHead(head_bytes);
  if (!head) return head;
  head_ = *head;
  head_bytes_ = head_bytes;
  head_digest_ = content_digest::Of(head_bytes);
  for (std::size_t page = 0; page < kConfigPages; ++page) {
    const content_digest& digest = head_.pages[page];
    if (digest == present.head.pages[page]) continue;
    if (digest.empty()) {
      pages_[page] = nullptr;
      AddMissingLeaves(page, config_page(kLeavesPerPage), present);
      continue;
    }
    AddMissing(digest, true, page);
  }
  return head;
}

void config_assembler::Drop() {
  head_ = config_head();
  missing_.clear();
  pages_.clear();
  leaves_.clear();
}

void config_assembler::AddMissing(const content_digest& digest, bool is_page,
                                  std::size_t position) {
  part_positions& where = missing_[digest];
  where.is_page = is_page;
  where.positions.push_back(position);
}

void config_assembler::AddMissingLeaves(std::size_t page, const config_page& leaves,
                                        const config_tree& present) {
  for (std::size_t i = 0; i < kLeavesPerPage; ++i) {
    const std::size_t position = page * kLeavesPerPage + i;
    const std::shared_ptr<const loaded_leaf>& held = present.leaves[position];
    const content_digest have = held == nullptr ? content_digest() : held->digest;
    if (leaves[i] == have) continue;
    if (leaves[i].empty()) {
      leaves_[position] = nullptr;
    } else {
      AddMissing(leaves[i], false, position);
    }
  }
}

bool config_assembler::AddPart(const content_digest& digest, std::string_view bytes,
                               const config_tree& present) {
  const auto found = missing_.find(digest);
  if (found == missing_.end()) return true;
  if (bytes.size() > kMaxPartBytes || content_digest::Of(bytes) != digest) return false;
  const part_positions where = found->second;
  const bool accepted =
      where.is_page ? AcceptPage(where, bytes, present) : AcceptLeaf(digest, where, bytes);
  if (accepted) missing_.erase(digest);
  return accepted;
}

bool config_assembler::AcceptPage(const part_positions& where, std::string_view bytes,
                                  const config_tree& present) {
  expected<config_page> leaves = DecodePage(bytes);
  if (!leaves) return false;
  auto page = std::make_shared<loaded_page>();
  page->bytes = bytes;
  page->leaves = std::move(*leaves);
  for (const std::size_t position : where.positions) {
    pages_[position] = page;
    AddMissingLeaves(position, page->leaves, present);
  }
  return true;
}

bool config_assembler::AcceptLeaf(const content_digest& digest, const part_positions& where,
                                  std::string_view bytes) {
  expected<std::vector<config_entry>> entries = DecodeLeaf(bytes, where.positions.front());
  if (!entries) return false;
  auto leaf = std::make_shared<loaded_leaf>();
  leaf->digest = digest;
  leaf->bytes = bytes;
  for (config_entry& entry : *entries) {
    if (!entry.removed) leaf->services.push_back(Share(std::move(entry.config)));
  }
  leaf->services.shrink_to_fit();
  for (const std::size_t position : where.positions) leaves_[position] = leaf;
  return true;
}

std::vector<content_digest> config_assembler::MissingParts(std::size_t limit) const {
  std::vector<content_digest> digests;
  for (const auto& [digest, where] : missing_) {
    if (digests.size() == limit) break;
    digests.push_back(digest);
  }
  return digests;
}

void config_assembler::ApplyTo(config_tree& tree) {
  tree.head = std::move(head_);
  tree.head_digest = head_digest_;
  tree.head_bytes = std::move(head_bytes_);
  for (auto& [position, page] : pages_) tree.pages[position] = std::move(page);
  for (auto& [position, leaf] : leaves_) tree.leaves[position] = std::move(leaf);
  Drop();
}

}  // namespace hawthorndrum
