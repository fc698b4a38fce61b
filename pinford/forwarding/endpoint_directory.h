// The platform's list of endpoints, as it is mirrored from the store, put in
// terms of the endpoint table.
//
// An endpoint's id is its name in the table. The list says what a runner holds;
// with the pool's configuration that becomes its LoadReport. What the table
// adds is what this box and its peers have placed there.
//
// An endpoint may start anew under its id. Its incarnation is the time of its
// start, so a greater one is a later life, whoever tells of it first: list,
// change, report, or a peer's copy. What is said of an earlier life counts no
// more. That an endpoint leaves holds for the life it was said of and those
// before it; where no life was told, for the one that is known. So that a late
// word of an earlier life brings nothing back, lives are remembered for a while
// after their entry has gone.
//
// An entry that cannot be read, or tells no life where one was told before,
// comes from another writer. It names no endpoint: what was known under its id
// gets no new work until a good entry is back.
//
// While the store is away entries may lapse though the endpoint lives. What is
// missing right after the store is back is therefore kept for a short time;
// what has not come back by then is gone. Copies for peers say which entries
// those are: dropping one later is no change of the store's, so that no
// version tells the peers of it.
//
// A store that comes back from a copy lacks what was written last, and has
// again what went. What is missing is kept as after an outage. What was gone
// and stands in the copy, of the same life, gets no work until it is written
// anew, or has stood there for longer than the store keeps who is silent. Both
// are in copies for peers, too.

#ifndef PINFORD_FORWARDING_ENDPOINT_DIRECTORY_H_
#define PINFORD_FORWARDING_ENDPOINT_DIRECTORY_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "pinford/endpoint_table.h"
#include "pinford/forwarding/list_changes.h"
#include "pinford/forwarding/service_configuration.h"

namespace pinford {

// Of an endpoint that tells no life: its id names one life.
inline constexpr uint64_t kUnknownIncarnation = 1;
inline bool IsKnownIncarnation(uint64_t incarnation) {
  return incarnation > kUnknownIncarnation;
}
// Whether `now` is another life than `before`. Where one of them is not told,
// nobody knows.
inline bool IsNewerIncarnation(uint64_t before, uint64_t now) {
  return IsKnownIncarnation(before) && now > before;
}

// What a runner tells of itself.
struct RunnerState {
  std::string kind;     // of its accelerator
  std::string version;  // of the weights it holds
  LayerRange holds;
  uint64_t orders = 0;  // orders taken in this life
  uint64_t incarnation = kUnknownIncarnation;
  bool leaving = false;  // of a report: the list tells its state itself

  bool operator==(const RunnerState&) const = default;
};

struct DirectoryEntry {
  ListedEndpoint listed;  // its name is the id; 0 for its life: see Take
  int slots = 1;          // requests it works on at a time
  std::optional<RunnerState> runner;
  // In a copy for a peer: the entry is missing from the store and is dropped
  // unless it is back within this.
  std::optional<Duration> lapses_in;
  // In a copy for a peer: it was gone, and is back with the store's copy alone;
  // it is not taken before this.
  std::optional<Duration> doubted_for;
};

// The list as text for a peer, and back. Nothing for text that cannot be read.
std::string WriteDirectory(const std::vector<DirectoryEntry>& entries);
std::optional<std::vector<DirectoryEntry>> ParseDirectory(
    std::string_view text);

// What changed of a list: entries as they are now, and ids that went.
struct DirectoryChanges {
  std::vector<DirectoryEntry> entries;
  std::vector<std::string> gone;

  bool empty() const { return entries.empty() && gone.empty(); }
};
std::string WriteChanges(const DirectoryChanges& changes);
std::optional<DirectoryChanges> ParseChanges(std::string_view text);

// Whether a runner of the pool can hold that.
bool FitsPool(const EnginePool& pool, const RunnerState& runner);

class EndpointDirectory {
 public:
  struct Options {
    // The platform's word: entries that lapsed are back within about two
    // seconds of the store's return. No longer: what left meanwhile must get
    // no work once 3 s have passed.
    Duration lapse_grace = milliseconds(2200);
    // How long lives are remembered without an entry. Words that were held up
    // come seconds late; a leaving endpoint lives for some tens of seconds.
    Duration remember_lives = seconds(600);
    // How long what was gone is doubted after the store's return from a copy.
    // The store drops who has been silent for three heartbeats of 1.2 s.
    Duration doubt = seconds(5);
  };
  struct Events {
    std::function<void(const DirectoryEntry&)> on_joined;
    std::function<void(const std::string& id)> on_leaving;
    std::function<void(const std::string& id)> on_removed;
    // It has started anew; what it said before counts no more.
    std::function<void(const DirectoryEntry&, uint64_t before)> on_restarted;
    std::function<void(const std::string& id, std::string_view why)>
        on_rejected;
    std::function<void(const DirectoryEntry&, const LayerRange& before)>
        on_layers_changed;
  };

  EndpointDirectory(EndpointTable* table, const Options& options, Events events)
      : table_(table), options_(options), events_(std::move(events)) {}

  void set_configuration(Time now,
                         std::shared_ptr<const ServiceConfiguration> config);

  // The store is back after an outage: what is missing may only have lapsed.
  // To a box that has no entries yet, none can have.
  void OnStoreReachable(Time now) {
    if (!entries_.empty()) settled_ = now + options_.lapse_grace;
  }
  // The store has come back from a copy. Call it before the copy's list.
  void OnStoreRestored(Time now);
  // The whole list, in place of what was known. `unreadable` are the ids of
  // entries that are there but cannot be read.
  void OnList(Time now, const std::vector<DirectoryEntry>& entries,
              const std::vector<std::string>& unreadable = {});
  // What changed of a peer's list since this box had it from there.
  void OnChanges(Time now, const DirectoryChanges& changes);
  void OnEntry(Time now, const DirectoryEntry& entry);
  void OnUnreadable(Time now, const std::string& id);
  void OnRemoved(Time now, const std::string& id);
  // Somebody has it from the endpoint or the list that this life leaves.
  void OnLeaving(Time now, const std::string& id, uint64_t incarnation);
  // What a runner itself said it holds, which may be ahead of the list.
  void OnRunnerState(Time now, const std::string& id, const RunnerState& state);
  // Drops what has not come back in time. Call it often.
  void Tick(Time now);

  const std::map<std::string, DirectoryEntry>& entries() const {
    return entries_;
  }
  const DirectoryEntry* Find(const std::string& id) const;
  // Grows with each entry that is taken or dropped, changed or not.
  uint64_t state() const { return state_; }
  // Whether a copy of it changes as time passes: some entry is missing from the
  // store and may come back, or is doubted.
  bool has_timed_entries() const {
    return !lapsed_.empty() || !doubted_.empty();
  }
  // Entries of services that the configuration does not name, or of runners
  // that say they hold what their pool does not have. They get no work.
  size_t unusable() const { return unusable_.size(); }
  // All entries, for a peer.
  std::vector<DirectoryEntry> Snapshot(Time now) const;
  // What changed after the moment `at` of this box's list, for a peer that has
  // it as of then; nothing if that is not known any more.
  uint64_t at() const { return changes_.at(); }
  std::optional<DirectoryChanges> ChangesSince(Time now, uint64_t at) const;

 private:
  EndpointRole RoleOf(const DirectoryEntry& entry) const;
  std::optional<Duration> LapsesIn(Time now, const std::string& id) const;
  // What is known of the lives of one id.
  struct Lives {
    uint64_t newest = 0;  // 0: none yet
    uint64_t left = 0;    // this one and those before it leave, or have left
    bool gone = false;    // the entry went, as the store had it
    Time heard{};
  };

  Lives& LivesOf(Time now, const std::string& id);
  // Settles which life the entry is of; 0 there means that the sender tells no
  // lives, and that it is of the known one. False if the entry counts no more.
  bool SettleLife(Time now, DirectoryEntry* entry);
  bool Usable(const DirectoryEntry& entry) const;
  void ForgetLives(Time now);
  // One entry as a copy for a peer has it; nothing if there is none.
  std::optional<DirectoryEntry> CopyOf(Time now, const std::string& id) const;
  // An entry of a peer's copy. False if it is not there for this box.
  bool TakeCopied(Time now, const DirectoryEntry& entry);
  // Whether the entry says only what the store's copy holds of an endpoint that
  // was gone.
  bool Doubted(Time now, const DirectoryEntry& entry) const;
  void Doubt(Time now, const DirectoryEntry& entry);
  // False if the entry was not taken.
  bool Take(Time now, DirectoryEntry entry);
  void Drop(Time now, const std::string& id);
  void Missing(Time now, const std::string& id);
  void Remove(const std::string& id);
  // Hands all entries to the table, or what is known of one id.
  void Refresh(Time now);
  void RefreshOne(Time now, const std::string& id);
  void Report(Time now, const DirectoryEntry& entry);

  EndpointTable* table_;
  Options options_;
  Events events_;
  std::shared_ptr<const ServiceConfiguration> config_;
  std::map<std::string, DirectoryEntry> entries_;
  std::map<std::string, Time> lapsed_;  // when each is to be dropped
  struct DoubtedEntry {
    DirectoryEntry entry;
    Time until{};
  };
  std::map<std::string, DoubtedEntry> doubted_;
  Time doubt_until_{};
  ListChanges changes_;
  std::map<std::string, Lives> lives_;
  Time next_forget_{};
  std::set<std::string> unusable_;
  uint64_t state_ = 0;
  Time settled_{};  // until then, entries may only have lapsed
};

}  // namespace pinford

#endif  // PINFORD_FORWARDING_ENDPOINT_DIRECTORY_H_
