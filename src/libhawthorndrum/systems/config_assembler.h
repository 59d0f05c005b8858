/// Assembles a new generation out of a head and the parts that differ.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "tables/config_tree.h"

namespace hawthorndrum {

/**
 * Holds the parts of a generation that is not in force yet. Only parts whose digest differs from
 * the present tree's are wanted; each is checked against its digest and decoded before it is kept.
 *
 * The tree given to Begin must stay unchanged until the generation is applied to it or dropped.
 */
class config_assembler {
 public:
  /** Starts over with a head. The error tells why the head can't be used. */
  expected<config_head> Begin(std::string_view head_bytes, const config_tree& present);

  /** Takes a part that may be wanted. Returns false when it is damaged. */
  bool Offer(const content_digest& digest, std::string_view bytes, const config_tree& present);

  bool started() const { return head_.number.value() != 0; }
  bool complete() const { return started() && wanted_.empty(); }
  generation number() const { return head_.number; }
  /** The parts that are still missing, in a fixed order. */
  std::vector<content_digest> Wanted(std::size_t most) const;
  std::size_t wanted_count() const { return wanted_.size(); }

  /** Puts the complete generation into the tree, touching only what differs. */
  void ApplyTo(config_tree& tree);
  void Drop();

 private:
  /** Where in the tree a part belongs; equal parts may belong to several places. */
  struct part_places {
    bool is_page = false;
    std::vector<std::size_t> places;
  };

  void Want(const content_digest& digest, bool is_page, std::size_t place);
  void WantLeaves(std::size_t page, const config_page& leaves, const config_tree& present);
  bool TakePage(const part_places& where, std::string_view bytes, const config_tree& present);
  bool TakeLeaf(const content_digest& digest, const part_places& where, std::string_view bytes);

  config_head head_;
  content_digest head_digest_;
  std::string head_bytes_;
  std::map<content_digest, part_places> wanted_;
  std::map<std::size_t, std::shared_ptr<const held_page>> pages_;
  std::map<std::size_t, std::shared_ptr<const held_leaf>> leaves_;
};

}  // namespace hawthorndrum
