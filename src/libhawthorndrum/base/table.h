/// A table of rows in one vector, indexed by id.
#pragma once

#include <cstddef>
#include <unordered_map>
#include <utility>
#include <vector>

namespace hawthorndrum {

/**
 * Holds rows that each have a member `id` of type Id. Insert and Erase invalidate pointers to rows;
 * the last row moves to the position of an erased one.
 *
 * Invariant: index_ maps every row's id to its position in rows_, and nothing else.
 */
template <typename Id, typename Row>
class table {
 public:
  /** Adds the row, or replaces the one with the same id. */
  Row& Insert(Row row) {
    auto [found, added] = index_.try_emplace(row.id, rows_.size());
    if (!added) return rows_[found->second] = std::move(row);
    rows_.push_back(std::move(row));
    return rows_.back();
  }

  /** Returns the row with the id, or nullptr. */
  Row* Find(const Id& id) {
    auto found = index_.find(id);
    return found == index_.end() ? nullptr : &rows_[found->second];
  }
  const Row* Find(const Id& id) const { return const_cast<table*>(this)->Find(id); }

  bool Erase(const Id& id) {
    auto found = index_.find(id);
    if (found == index_.end()) return false;
    const std::size_t position = found->second;
    index_.erase(found);
    if (position + 1 != rows_.size()) {
      rows_[position] = std::move(rows_.back());
      index_[rows_[position].id] = position;
    }
    rows_.pop_back();
    return true;
  }

  std::size_t size() const { return rows_.size(); }
  bool empty() const { return rows_.empty(); }
  auto begin() { return rows_.begin(); }
  auto end() { return rows_.end(); }
  auto begin() const { return rows_.begin(); }
  auto end() const { return rows_.end(); }

 private:
  std::vector<Row> rows_;
  std::unordered_map<Id, std::size_t> index_;
};

}  // namespace hawthorndrum
