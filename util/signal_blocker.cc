#include "util/signal_blocker.h"

namespace pinford {

SignalBlocker::SignalBlocker(std::initializer_list<int> signals) {
  pthread_sigmask(SIG_BLOCK, nullptr, &previous_mask_);
  Block(signals);
}

void SignalBlocker::Block(std::initializer_list<int> signals) {
  sigset_t blocked;
  sigemptyset(&blocked);
  for (const int signal : signals) sigaddset(&blocked, signal);
  pthread_sigmask(SIG_BLOCK, &blocked, nullptr);
}

void SignalBlocker::Unblock() {
  pthread_sigmask(SIG_SETMASK, &previous_mask_, nullptr);
}

}  // namespace pinford
