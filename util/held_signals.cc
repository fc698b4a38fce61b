#include "util/signal_blocker.h"

namespace pinford {

HeldSignals::HeldSignals(std::initializer_list<int> signals) {
  pthread_sigmask(SIG_BLOCK, nullptr, &before_);
  Hold(signals);
}

void HeldSignals::Hold(std::initializer_list<int> signals) {
  sigset_t held;
  sigemptyset(&held);
  for (const int signal : signals) sigaddset(&held, signal);
  pthread_sigmask(SIG_BLOCK, &held, nullptr);
}

void HeldSignals::Release() { pthread_sigmask(SIG_SETMASK, &before_, nullptr); }

}  // namespace pinford
