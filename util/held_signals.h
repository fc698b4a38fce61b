// Signals that come before a program is ready to take them. Without this they
// have their default effect, which for most is to end it.
//
// What comes while signals are held is delivered when they are released, once
// of each kind. Threads that start meanwhile never get these signals.

#ifndef UTIL_HELD_SIGNALS_H_
#define UTIL_HELD_SIGNALS_H_

#include <signal.h>

#include <initializer_list>

namespace pinford {

class SignalBlocker {
 public:
  explicit SignalBlocker(std::initializer_list<int> signals);
  // An early end of the program keeps its exit code: nothing is released here.
  ~SignalBlocker() = default;
  SignalBlocker(const SignalBlocker&) = delete;
  SignalBlocker& operator=(const SignalBlocker&) = delete;

  void Block(std::initializer_list<int> signals);
  void Unblock();

 private:
  sigset_t previous_mask_;
};

}  // namespace pinford

#endif  // UTIL_HELD_SIGNALS_H_
