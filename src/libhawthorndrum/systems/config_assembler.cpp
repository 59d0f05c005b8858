/// Parts of a generation on their way into force.
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
      WantLeaves(page, config_page(kLeavesPerPage), present);
      continue;
    }
    Want(digest, true, page);
  }
  return head;
}

void config_assembler::Drop() {
  head_ = config_head();
  wanted_.clear();
  pages_.clear();
  leaves_.clear();
}

void config_assembler::Want(const content_digest& digest, bool is_page, std::size_t place) {
  part_places& where = wanted_[digest];
  where.is_page = is_page;
  where.places.push_back(place);
}

void config_assembler::WantLeaves(std::size_t page, const config_page& leaves,
                                  const config_tree& present) {
  for (std::size_t i = 0; i < kLeavesPerPage; ++i) {
    const std::size_t place = page * kLeavesPerPage + i;
    const std::shared_ptr<const held_leaf>& held = present.leaves[place];
    const content_digest have = held == nullptr ? content_digest() : held->digest;
    if (leaves[i] == have) continue;
    if (leaves[i].empty()) {
      leaves_[place] = nullptr;
    } else {
      Want(leaves[i], false, place);
    }
  }
}

bool config_assembler::Offer(const content_digest& digest, std::string_view bytes,
                             const config_tree& present) {
  const auto found = wanted_.find(digest);
  if (found == wanted_.end()) return true;
  if (bytes.size() > kMaxPartBytes || content_digest::Of(bytes) != digest) return false;
  const part_places where = found->second;
  const bool taken =
      where.is_page ? TakePage(where, bytes, present) : TakeLeaf(digest, where, bytes);
  if (taken) wanted_.erase(digest);
  return taken;
}

bool config_assembler::TakePage(const part_places& where, std::string_view bytes,
                                const config_tree& present) {
  expected<config_page> leaves = DecodePage(bytes);
  if (!leaves) return false;
  auto page = std::make_shared<held_page>();
  page->bytes = bytes;
  page->leaves = std::move(*leaves);
  for (const std::size_t place : where.places) {
    pages_[place] = page;
    WantLeaves(place, page->leaves, present);
  }
  return true;
}

bool config_assembler::TakeLeaf(const content_digest& digest, const part_places& where,
                                std::string_view bytes) {
  expected<std::vector<config_entry>> entries = DecodeLeaf(bytes, where.places.front());
  if (!entries) return false;
  auto leaf = std::make_shared<held_leaf>();
  leaf->digest = digest;
  leaf->bytes = bytes;
  for (config_entry& entry : *entries) {
    if (!entry.removed) leaf->services.push_back(Share(std::move(entry.config)));
  }
  leaf->services.shrink_to_fit();
  for (const std::size_t place : where.places) leaves_[place] = leaf;
  return true;
}

std::vector<content_digest> config_assembler::Wanted(std::size_t most) const {
  std::vector<content_digest> digests;
  for (const auto& [digest, where] : wanted_) {
    if (digests.size() == most) break;
    digests.push_back(digest);
  }
  return digests;
}

void config_assembler::ApplyTo(config_tree& tree) {
  tree.head = std::move(head_);
  tree.head_digest = head_digest_;
  tree.head_bytes = std::move(head_bytes_);
  for (auto& [place, page] : pages_) tree.pages[place] = std::move(page);
  for (auto& [place, leaf] : leaves_) tree.leaves[place] = std::move(leaf);
  Drop();
}

}  // namespace hawthorndrum
