// One operator's submission of a new configuration.
//
// The submission is a compare-and-swap against the generation that the operator
// saw. Of concurrent submissions one succeeds; the others change nothing and
// return the generation that succeeded.
//
// If a reply is lost, the document is read back. If it names this submission,
// as the one that wrote it or in its history, the submission was accepted. If
// the store still holds the revision to be replaced, the write may yet take
// effect, so the same write is sent again: both carry the same id and name the
// same revision, so at most one of them succeeds. If the store holds something
// else, the write can no longer succeed, and the current generation is
// returned. Until one of these is known the status is kUndecided, never a
// rejection.

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
  kUndecided,   // no answer from the store in time; query the status later
  kNotWritten,  // the store was never reached: nothing was or will be written
};

std::string_view SubmissionStatusName(SubmissionStatus s);

struct SubmissionResult {
  SubmissionStatus status = SubmissionStatus::kUndecided;
  uint64_t generation = 0;      // the new one if accepted, else the current one
  Configuration configuration;  // as accepted; empty otherwise
};

struct SubmissionRequest {
  std::string id;  // chosen by the operator; the same for retries
  std::string author;
  uint64_t expected_generation = 0;
  std::vector<PolicyFile> policy;  // already validated
  Duration time_limit = seconds(5);
};

template <Store S, Clock Clk>
class Submission : public std::enable_shared_from_this<Submission<S, Clk>> {
 public:
  using Callback = std::function<void(const SubmissionResult&)>;

  // The object keeps itself alive until it has called `done`.
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
        MakeSuccessor(current, request_.id, request_.author, request_.policy);
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
    // The conflict may be with an earlier write of this submission, so read it
    // back.
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
  bool may_have_written_ = false;  // a write was sent and may take effect
};

}  // namespace pinford

#endif  // PINFORD_SUBMISSION_H_
