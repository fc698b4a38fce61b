// Blocks signals until a program has installed its handlers. Otherwise an early
// signal has its default effect, which for most signals ends the process.
//
// Signals that arrive while blocked are delivered on Unblock(), once for each
// signal number. Threads started while blocked inherit the mask and never get
// them.

#ifndef UTIL_SIGNAL_BLOCKER_H_
#define UTIL_SIGNAL_BLOCKER_H_

#include <signal.h>

#include <initializer_list>

namespace pinford {

class SignalBlocker {
 public:
  explicit SignalBlocker(std::initializer_list<int> signals);
  // Does not unblock: a pending signal would change the exit code of a program
  // that returns early.
  ~SignalBlocker() = default;
  SignalBlocker(const SignalBlocker&) = delete;
  SignalBlocker& operator=(const SignalBlocker&) = delete;

  void Block(std::initializer_list<int> signals);
  void Unblock();

 private:
  sigset_t previous_mask_;
};

}  // namespace pinford

#endif  // UTIL_SIGNAL_BLOCKER_H_
