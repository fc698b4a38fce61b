// The crash ledgers of many boxes on a paused clock, over a network that loses,
// repeats and delays datagrams, with boxes that restart.

#ifndef PINFORD_TESTING_LEDGER_NET_H_
#define PINFORD_TESTING_LEDGER_NET_H_

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "pinford/forwarding/crash_ledger.h"
#include "util/paused_clock.h"

namespace pinford {

class LedgerNet {
 public:
  struct Options {
    int boxes = 8;
    double loss = 0;        // of datagrams
    double duplicates = 0;  // of datagrams
    int max_delay_ms = 5;   // of datagrams
    // Until a box finds that an endpoint has ended: up to so long.
    int max_confirm_ms = 1;
    Duration box_restarts{};  // one box after the other; 0 for none
  };

  // A box must know after this time what its peers know.
  static constexpr seconds kContact{3};

  LedgerNet(PausedClock* clock, const Options& options, uint64_t seed)
      : clock_(clock), options_(options), random_(seed) {
    for (int i = 0; i < options.boxes; i++) {
      boxes_.emplace_back(random_());
      SetTrialOwner(i);
    }
    Every(kTick, [this] { TickAll(); });
    Every(kSampleInterval, [this] { SampleAll(); });
    if (options.box_restarts > Duration(0)) {
      Every(options.box_restarts, [this] { RestartNextBox(); });
    }
  }

  int size() const { return options_.boxes; }
  CrashLedger& box(int i) { return boxes_[i].ledger; }
  int most_bytes_per_second() const { return most_bytes_per_second_; }

  // The endpoint ends now. Its name is not used again.
  void End(const std::string& endpoint) { ended_[endpoint] = clock_->now(); }

  bool InContact(int box) const {
    return !boxes_[box].started ||
           clock_->now() - *boxes_[box].started >= kContact;
  }

 private:
  static constexpr milliseconds kTick{20};
  static constexpr milliseconds kSampleInterval{1000};
  static constexpr milliseconds kJoinTime{300};
  static constexpr size_t kSamplePeers = 2;
  static constexpr double kJoinSenders = 4;

  struct Box {
    explicit Box(uint64_t seed)
        : ledger(CrashLedger::Options(), Random(seed)) {}

    CrashLedger ledger;
    std::optional<Time> started;
  };

  void Every(Duration d, const std::function<void()>& fn) {
    clock_->After(d, [this, d, fn] {
      fn();
      Every(d, fn);
    });
  }
  int Pick(int n) { return static_cast<int>(random_() % n); }
  bool Draw(double p) { return std::bernoulli_distribution(p)(random_); }

  bool HasEnded(int box, const std::string& endpoint) const {
    const auto ended = ended_.find(endpoint);
    if (ended == ended_.end()) return false;
    const auto delay =
        Hash64(endpoint, box) % static_cast<uint64_t>(options_.max_confirm_ms);
    return clock_->now() >= ended->second + milliseconds(delay);
  }

  void SetTrialOwner(int i) {
    box(i).set_trial_owner([this, i](const std::string& fingerprint) {
      return CollectorsOf(fingerprint)[0] == i;
    });
  }

  void RestartNextBox() {
    next_restart_ = (next_restart_ + 1) % size();
    boxes_[next_restart_] = Box(random_());
    SetTrialOwner(next_restart_);
    boxes_[next_restart_].started = clock_->now();
    // Some of the peers that notice it send it their records.
    clock_->After(kJoinTime, [this, to = next_restart_] {
      for (int i = 0; i < size(); i++) {
        if (!Draw(kJoinSenders / size())) continue;
        for (const CrashRecord& r :
             box(i).Sample(clock_->now(), kMaxCrashRecords)) {
          Deliver(i, to, r);
        }
      }
    });
  }

  void TickAll() {
    const Time now = clock_->now();
    for (int i = 0; i < size(); i++) {
      const auto updates =
          box(i).Tick(now, [this, i](const std::string& endpoint, uint64_t) {
            return HasEnded(i, endpoint);
          });
      for (const CrashRecord& r : updates.to_collectors) {
        for (const int to : CollectorsOf(r.fingerprint)) Deliver(i, to, r);
      }
      for (const CrashRecord& r : updates.to_all) Gossip(i, r, kCrashFanout);
      for (const CrashRecord& r : updates.suspects)
        Gossip(i, r, kSuspectFanout);
    }
  }

  void SampleAll() {
    bytes_ = {};
    for (int i = 0; i < size(); i++) {
      for (const CrashRecord& r : box(i).Sample(clock_->now(), 1))
        Gossip(i, r, kSamplePeers);
    }
  }

  std::vector<int> CollectorsOf(const std::string& key) const {
    std::vector<std::pair<uint64_t, int>> ranked;
    ranked.reserve(size());
    for (int i = 0; i < size(); i++) {
      ranked.emplace_back(RendezvousWeight(std::to_string(i), key), i);
    }
    std::sort(ranked.rbegin(), ranked.rend());
    std::vector<int> collectors;
    collectors.reserve(kCrashCollectors);
    for (int i = 0; i < std::min(kCrashCollectors, size()); i++) {
      collectors.push_back(ranked[i].second);
    }
    return collectors;
  }

  void Gossip(int from, const CrashRecord& record, size_t peers) {
    for (size_t i = 0; i < peers; i++) Deliver(from, Pick(size()), record);
  }

  void Deliver(int from, int to, const CrashRecord& record) {
    if (from == to) return;
    CountBytes(from, record);
    for (int copy = 0; copy < (Draw(options_.duplicates) ? 2 : 1); copy++) {
      if (Draw(options_.loss)) continue;
      clock_->After(
          milliseconds(Pick(options_.max_delay_ms) + 1),
          [this, to, record] { box(to).OnRecord(clock_->now(), record); });
    }
  }

  void CountBytes(int from, const CrashRecord& record) {
    bytes_[from] +=
        static_cast<int>(PeerCodec("k").Encode(CrashNotice{{record}}).size());
    most_bytes_per_second_ = std::max(most_bytes_per_second_, bytes_[from]);
  }

  PausedClock* clock_;
  Options options_;
  Random random_;
  std::vector<Box> boxes_;
  std::map<std::string, Time> ended_;
  int next_restart_ = -1;
  std::map<int, int> bytes_;  // by box, in this second
  int most_bytes_per_second_ = 0;
};

}  // namespace pinford

#endif  // PINFORD_TESTING_LEDGER_NET_H_
