// One operator's submission of a new configuration.
//
// The submission is a compare-and-swap against the generation that the
// operator saw. Of operators who race, one wins; the others are told the
// generation that beat them and change nothing.
//
// A lost reply is resolved by reading back. If the document names this
// submission, in itself or in its history, it was accepted. If the store
// still holds what was to be replaced, the write may yet land, so the same
// write is sent again: it carries the same id and names the same revision, so
// at most one of the two takes effect. If something else is there, ours can
// never land and the operator is told the current generation. Until one of
// these is known the answer is kUndecided, never "rejected".

#ifndef PINFORD_SUBMISSION_H_
#define PINFORD_SUBMISSION_H_

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "pinford/configuration.h"
#include "pinford/store.h"
#include "util/clock.h"

namespace pinford {

enum class SubmissionStatus {
  kAccepted,
  kStale,       // the operator saw an older generation than the current one
  kUndecided,   // the store did not tell in time; ask for the status later
  kNotWritten,  // the store was never reached: nothing was or will be written
};

std::string_view SubmissionStatusName(SubmissionStatus s);

struct SubmissionResult {
  SubmissionStatus status = SubmissionStatus::kUndecided;
  uint64_t generation = 0;      // its own if accepted, else the current one
  Configuration configuration;  // as accepted; empty otherwise
};

struct SubmissionRequest {
  std::string id;  // the operator's, the same over retries
  std::string author;
  uint64_t expected_generation = 0;
  std::vector<PolicyFile> policy;  // already checked
  Duration time_limit = seconds(5);
};

template <Store S, Clock Clk>
class Submission : public std::enable_shared_from_this<Submission<S, Clk>> {
 public:
  using Callback = std::function<void(const SubmissionResult&)>;

  // The object keeps itself alive until it has called back.
  static void Start(S* store, Clk* clock, SubmissionRequest request,
                    Callback done) {
    auto s = std::shared_ptr<Submission>(
        new Submission(store, clock, std::move(request), std::move(done)));
    s->Read();
  }

 private:
  Submission(S* store, Clk* clock, SubmissionRequest request, Callback done)
      : store_(store),
        clock_(clock),
        request_(std::move(request)),
        done_(std::move(done)),
        deadline_(clock->now() + request_.time_limit) {}

  void Read() {
    store_->Get(kConfigurationKey,
                [self = this->shared_from_this()](const StoreResult& r) {
                  self->OnRead(r);
                });
  }

  void OnRead(const StoreResult& r) {
    if (r.status != StoreStatus::kOk && r.status != StoreStatus::kMissing) {
      RetryLater();
      return;
    }
    Configuration current;
    if (r.status == StoreStatus::kOk) {
      std::optional<Configuration> parsed = ParseConfiguration(r.now.value);
      if (parsed) current = std::move(*parsed);
    }
    if (std::optional<uint64_t> g = current.GenerationOf(request_.id)) {
      Finish(SubmissionStatus::kAccepted, *g, std::move(current));
      return;
    }
    if (current.generation != request_.expected_generation) {
      Finish(SubmissionStatus::kStale, current.generation, {});
      return;
    }
    Write(current, r.now.revision);
  }

  void Write(const Configuration& current, StoreRevision revision) {
    Configuration next =
        Succeed(current, request_.id, request_.author, request_.policy);
    std::string text = WriteConfiguration(next);
    store_->CompareAndSwap(
        kConfigurationKey, revision, text,
        [self = this->shared_from_this(),
         next = std::move(next)](const StoreResult& r) mutable {
          self->OnWritten(r, std::move(next));
        });
  }

  void OnWritten(const StoreResult& r, Configuration next) {
    if (r.status == StoreStatus::kOk) {
      const uint64_t generation = next.generation;
      Finish(SubmissionStatus::kAccepted, generation, std::move(next));
      return;
    }
    if (r.status != StoreStatus::kNotSent) may_have_written_ = true;
    // A conflict may be with our own earlier write; reading tells.
    if (r.status == StoreStatus::kConflict) {
      Read();
    } else {
      RetryLater();
    }
  }

  void RetryLater() {
    if (clock_->now() >= deadline_) {
      Finish(may_have_written_ ? SubmissionStatus::kUndecided
                               : SubmissionStatus::kNotWritten,
             0, {});
      return;
    }
    constexpr Duration kPause = milliseconds(100);
    clock_->After(kPause, [self = this->shared_from_this()] { self->Read(); });
  }

  void Finish(SubmissionStatus status, uint64_t generation,
              Configuration configuration) {
    done_({status, generation, std::move(configuration)});
  }

  S* store_;
  Clk* clock_;
  SubmissionRequest request_;
  Callback done_;
  Time deadline_;
  bool may_have_written_ = false;  // a write left this box and was not refused
};

}  // namespace pinford

#endif  // PINFORD_SUBMISSION_H_
