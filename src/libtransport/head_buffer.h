/// The bytes of a connection that are not parsed yet.
#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <cstddef>

namespace hawthorndrum {

/**
 * Notes whether a head that the library takes from the buffer has a folded line: one that begins
 * with a blank, which the library adds to the value of the line before. A field whose name begins
 * with a blank is lost that way, and with it the length of a body.
 */
class head_buffer : public boost::beast::flat_buffer {
 public:
  using boost::beast::flat_buffer::flat_buffer;

  /** The bytes consumed from here on are those of a head. */
  void BeginHead();
  /** Returns whether the head had a folded line; the bytes from here on are those of a body. */
  bool EndHead();
  /** Called by the library with the number of bytes that it has parsed. */
  void consume(std::size_t bytes);

 private:
  bool in_head_ = false;
  /** Whether the last byte that was consumed ended a line. */
  bool at_line_begin_ = false;
  bool has_folded_line_ = false;
};

}  // namespace hawthorndrum
