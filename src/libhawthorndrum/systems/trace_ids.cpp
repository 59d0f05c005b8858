/// W3C Trace Context: reading and writing `traceparent`.
#include "systems/trace_ids.h"

#include "ports/random_source.h"
#include "systems/problem_answer.h"

namespace hawthorndrum {

namespace {

// 00-<32 digits of the trace>-<16 digits of the parent>-<2 digits of flags>
constexpr std::size_t kLength = 55;
constexpr std::size_t kTraceAt = 3;
constexpr std::size_t kTraceLowAt = 19;
constexpr std::size_t kParentAt = 36;
constexpr std::size_t kIdLength = 16;

}  // namespace

trace_context ReadTraceparent(std::string_view header, random_source& random) {
  trace_context trace;
  trace.span = random.Draw();
  if (header.size() == kLength && header.substr(0, kTraceAt) == "00-" && header[35] == '-') {
    trace.trace_high = FromHex(header.substr(kTraceAt, kIdLength));
    trace.trace_low = FromHex(header.substr(kTraceLowAt, kIdLength));
    trace.parent = FromHex(header.substr(kParentAt, kIdLength));
  }
  if ((trace.trace_high | trace.trace_low) != 0 && trace.parent != 0) return trace;
  trace.trace_high = random.Draw();
  trace.trace_low = random.Draw();
  trace.parent = 0;
  return trace;
}

std::string WriteTraceparent(const trace_context& trace, std::uint64_t span) {
  return "00-" + ToHex(trace.trace_high) + ToHex(trace.trace_low) + "-" + ToHex(span) + "-01";
}

}  // namespace hawthorndrum
