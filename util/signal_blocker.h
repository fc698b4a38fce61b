// Signals that come before a program is ready to take them. Without this they
// have their default effect, which for most is to end it.
//
// What comes while signals are held is delivered when they are released, once
// of each kind. Threads that start meanwhile never get these signals.

#ifndef UTIL_SIGNAL_BLOCKER_H_
#define UTIL_SIGNAL_BLOCKER_H_

#include <signal.h>

#include <initializer_list>

namespace pinford {

class HeldSignals {
 public:
  explicit HeldSignals(std::initializer_list<int> signals);
  // An early end of the program keeps its exit code: nothing is released here.
  ~HeldSignals() = default;
  HeldSignals(const HeldSignals&) = delete;
  HeldSignals& operator=(const HeldSignals&) = delete;

  void Hold(std::initializer_list<int> signals);
  void Release();

 private:
  sigset_t before_;
};

}  // namespace pinford

#endif  // UTIL_SIGNAL_BLOCKER_H_
