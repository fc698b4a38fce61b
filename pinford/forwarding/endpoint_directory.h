// The platform's list of endpoints, as it is mirrored from the store, put in
// terms of the endpoint table.
//
// An entry names one life of an endpoint: its id appears nowhere else, so the
// id is the endpoint's name in the table. The list says what a runner holds;
// with the pool's configuration that becomes its LoadReport. What the table
// adds is what this box and its peers have placed there.
//
// While the store is away entries may lapse though the endpoint lives. What is
// missing right after the store is back is therefore kept for a short time;
// what has not come back by then is gone. Copies for peers say which entries
// those are: dropping one later is no change of the store's, so that no
// version tells the peers of it.

#ifndef PINFORD_FORWARDING_ENDPOINT_DIRECTORY_H_
#define PINFORD_FORWARDING_ENDPOINT_DIRECTORY_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "pinford/endpoint_table.h"
#include "pinford/forwarding/service_configuration.h"

namespace pinford {

// What a runner tells of itself.
struct RunnerState {
  std::string kind;     // of its accelerator
  std::string version;  // of the weights it holds
  LayerRange holds;
  uint64_t orders = 0;  // orders taken in this life
};

struct DirectoryEntry {
  ListedEndpoint listed;  // its name is the id of this life
  int slots = 1;          // requests it works on at a time
  std::optional<RunnerState> runner;
  // In a copy for a peer: the entry is missing from the store and is dropped
  // unless it is back within this.
  std::optional<Duration> lapses_in;
};

// The list as text for a peer, and back. Nothing for text that cannot be read.
std::string WriteDirectory(const std::vector<DirectoryEntry>& entries);
std::optional<std::vector<DirectoryEntry>> ParseDirectory(
    std::string_view text);

class EndpointDirectory {
 public:
  struct Options {
    // The platform's word: entries that lapsed are back within about two
    // seconds of the store's return. No longer: what left meanwhile must get
    // no work once 3 s have passed.
    Duration lapse_grace = milliseconds(2200);
  };
  struct Events {
    std::function<void(const DirectoryEntry&)> on_joined;
    std::function<void(const std::string& id)> on_leaving;
    std::function<void(const std::string& id)> on_gone;
    std::function<void(const DirectoryEntry&, const LayerRange& before)>
        on_holds;
  };

  EndpointDirectory(EndpointTable* table, const Options& options, Events events)
      : table_(table), options_(options), events_(std::move(events)) {}

  void set_configuration(Time now,
                         std::shared_ptr<const ServiceConfiguration> config);

  // The store is back after an outage: what is missing may only have lapsed.
  // To a box that has no entries yet, none can have.
  void OnStoreBack(Time now) {
    if (!entries_.empty()) settled_ = now + options_.lapse_grace;
  }
  // The whole list, in place of what was known.
  void OnList(Time now, const std::vector<DirectoryEntry>& entries);
  void OnEntry(Time now, const DirectoryEntry& entry);
  void OnGone(Time now, const std::string& id);
  // Somebody has it from the endpoint or the list that it leaves.
  void OnLeaving(Time now, const std::string& id);
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
  // Whether some entry is missing from the store and may come back.
  bool has_lapsed() const { return !lapsed_.empty(); }
  // All entries, for a peer.
  std::vector<DirectoryEntry> Copy(Time now) const;

 private:
  EndpointRole RoleOf(const DirectoryEntry& entry) const;
  std::optional<Duration> LapsesIn(Time now, const std::string& id) const;
  void Take(Time now, const DirectoryEntry& entry);
  void Missing(Time now, const std::string& id);
  void Remove(const std::string& id);
  void Refresh(Time now);
  void Report(Time now, const DirectoryEntry& entry);

  EndpointTable* table_;
  Options options_;
  Events events_;
  std::shared_ptr<const ServiceConfiguration> config_;
  std::map<std::string, DirectoryEntry> entries_;
  std::map<std::string, Time> lapsed_;  // when each is to be dropped
  uint64_t state_ = 0;
  Time settled_{};  // until then, entries may only have lapsed
};

}  // namespace pinford

#endif  // PINFORD_FORWARDING_ENDPOINT_DIRECTORY_H_
