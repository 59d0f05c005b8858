/// Asks the store for changes that this daemon has not heard of yet.
#pragma once

namespace hawthorndrum {

class change_check_port {
 public:
  virtual ~change_check_port() = default;

  /**
   * Asks now, not by what was asked before. The result is reported later, within a second, through
   * stream_resumes::OnChecked.
   */
  virtual void Check() = 0;
};

}  // namespace hawthorndrum
