// The list of endpoints, mirrored from the store, as input for EndpointTable.
//
// An endpoint's id is its name in the table. The list gives the layers that a
// runner holds; with the pool's configuration that becomes the runner's
// LoadReport. The table adds the work that this box and its peers have placed
// there.
//
// An endpoint may restart under its id. Its incarnation is its start time, so a
// greater one is newer, whichever source reports it first: the list, a change,
// a runner's report, or a peer's snapshot. State of an older incarnation is
// ignored. A leaving mark holds for the incarnation it names and all older
// ones; a mark without an incarnation holds for the known one. Incarnations are
// remembered for a while after their entry is removed, so that a late message
// about an old one does not bring it back.
//
// An entry that cannot be read, or that lacks an incarnation where one was
// known, was written by some other program. The endpoint with that id gets no
// new work until a valid entry is back.
//
// While the store is unavailable, entries may lapse although the endpoint is
// alive. Entries that are missing right after the store is back, as far as this
// box can tell, are therefore kept for a short time without new work
// (missing_entries.h), and removed if they are not back by then. Snapshots for
// peers mark these entries: the later removal is no change in the store, so no
// new list version announces it.
//
// A store that was restored from a backup lacks the last writes and contains
// entries that were removed since. Missing entries are kept as after an outage.
// An entry of an incarnation that was removed is quarantined: it gets no work
// until it is written again, or has outlasted the time after which the store
// drops unresponsive endpoints. Snapshots for peers mark both kinds.

#ifndef PINFORD_FORWARDING_ENDPOINT_DIRECTORY_H_
#define PINFORD_FORWARDING_ENDPOINT_DIRECTORY_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "pinford/endpoint_table.h"
#include "pinford/forwarding/directory_entry.h"
#include "pinford/forwarding/list_changes.h"
#include "pinford/forwarding/missing_entries.h"
#include "pinford/forwarding/service_configuration.h"

namespace pinford {

// What an update of the directory rests on.
enum class EntrySource {
  kStoreList,   // a full list that this box read from the store
  kStoreWatch,  // a change that the store reported to this box
  kPeer,        // a peer's list, or changes to it
  kNotice,      // a peer's mark in a digest, or its MissingNotice
  kEndpoint,    // the endpoint itself
  kExpiry,      // the end of a grace or quarantine
};

std::string_view EntrySourceName(EntrySource s);

class EndpointDirectory {
 public:
  struct Options {
    // The platform guarantees that lapsed entries are back within about two
    // seconds of the store's return. Not longer: an endpoint that left in the
    // meantime must get no work after 3 s.
    Duration lapse_grace = milliseconds(2200);
    // How long incarnations are remembered without an entry. Delayed messages
    // arrive seconds late; a leaving endpoint runs for some tens of seconds.
    Duration incarnation_retention = seconds(600);
    // How long removed entries stay quarantined after the store was restored
    // from a backup. The store drops endpoints that miss three heartbeats of
    // 1.2 s.
    Duration quarantine = seconds(5);
  };
  struct Events {
    std::function<void(const DirectoryEntry&)> on_joined;
    std::function<void(const std::string& id, EntrySource)> on_leaving;
    // An endpoint was marked as leaving by OnLeaving, before the list showed
    // it.
    std::function<void()> on_leaving_reported;
    std::function<void(const std::string& id, EntrySource)> on_removed;
    // The entry is missing from the store, and kept since it may only have
    // lapsed: for `keep`, or until the list is as recent as a peer's notice.
    std::function<void(const std::string& id, EntrySource,
                       std::optional<Duration> keep)>
        on_missing;
    // This box read from the store that the entry of this incarnation is
    // missing, and it was not leaving. Whether the entry is kept or not.
    std::function<void(const std::string& id, uint64_t incarnation)>
        on_missing_read;
    // An entry that was missing is back.
    std::function<void(const std::string& id, EntrySource)> on_back;
    // Other services than before have most of their entries missing.
    std::function<void(const std::set<std::string>& services)>
        on_mostly_missing;
    // The endpoint has restarted; state of the incarnation `before` is invalid.
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

  // The store is back after an outage: missing entries may only have lapsed. A
  // directory without entries has none that could have.
  void OnStoreReachable(Time now) {
    if (!entries_.empty()) lapse_grace_end_ = now + options_.lapse_grace;
  }
  // The store was restored from a backup. Call this before OnList with its
  // list.
  void OnStoreRestored(Time now);
  // Replaces the whole list. `unreadable` are the ids of entries that exist but
  // cannot be parsed.
  void OnList(Time now, const std::vector<DirectoryEntry>& entries,
              const std::vector<std::string>& unreadable = {},
              EntrySource source = EntrySource::kStoreList);
  // Changes to a peer's list since this box last got it from that peer.
  void OnChanges(Time now, const DirectoryChanges& changes);
  void OnEntry(Time now, const DirectoryEntry& entry);
  void OnUnreadable(Time now, const std::string& id);
  void OnRemoved(Time now, const std::string& id);
  // Some source reported that this incarnation is leaving.
  void OnLeaving(Time now, const std::string& id, uint64_t incarnation,
                 EntrySource source = EntrySource::kNotice);
  // A peer reports that the list of that version lacks the entry of this
  // incarnation. The list of this box must be older. Returns whether it was
  // news.
  bool OnMissingReported(Time now, const std::string& id, uint64_t incarnation,
                         uint64_t list_version);
  // The list has reached that version. Call it after the updates that lead to
  // it.
  void OnListVersion(Time now, uint64_t list_version);
  // A runner reported its layers. The report may be ahead of the list.
  void OnRunnerState(Time now, const std::string& id, const RunnerState& state);
  // Removes entries whose time is up. Call it often.
  void Tick(Time now);

  const std::map<std::string, DirectoryEntry>& entries() const {
    return entries_;
  }
  const DirectoryEntry* Find(const std::string& id) const;
  // Incremented whenever an entry is applied or removed, even if unchanged.
  uint64_t state() const { return state_; }
  // Whether a snapshot depends on the time: some entries are missing from the
  // store and may come back, or are quarantined.
  bool has_timed_entries() const {
    return !missing_.empty() || !quarantined_.empty();
  }
  // Entries that are missing from the store, and kept.
  size_t missing() const { return missing_.size(); }
  // Entries of services that the configuration does not name, or of runners
  // that report layers outside their pool's model. They get no work.
  size_t unusable() const { return unusable_.size(); }
  // All entries, for a peer.
  std::vector<DirectoryEntry> Snapshot(Time now) const;
  // Changes after sequence number `at` of this list, for a peer that has the
  // list as of then. nullopt if they are no longer known.
  uint64_t at() const { return changes_.at(); }
  std::optional<DirectoryChanges> ChangesSince(Time now, uint64_t at) const;

 private:
  EndpointRole RoleOf(const DirectoryEntry& entry) const;
  // The time until the entry is removed, if it is missing from the store.
  std::optional<Duration> LapsesIn(Time now, const std::string& id) const;
  // What is known of the incarnations of one id.
  struct Incarnations {
    uint64_t newest = 0;       // 0: none yet
    uint64_t max_leaving = 0;  // this and all older ones leave or have left
    bool removed = false;      // the store removed the entry
    Time updated{};
  };

  Incarnations& IncarnationsOf(Time now, const std::string& id);
  // Compares the entry's incarnation with the known ones and updates both. 0,
  // of a sender that does not know incarnations, stands for the known one.
  // Returns false if the entry is out of date or lacks a known incarnation.
  bool ResolveIncarnation(Time now, DirectoryEntry* entry);
  bool Usable(const DirectoryEntry& entry) const;
  void EraseOldIncarnations(Time now);
  // One entry for a snapshot; nullopt if there is none.
  std::optional<DirectoryEntry> SnapshotOf(Time now,
                                           const std::string& id) const;
  // Applies an entry of a full list or of a peer's changes. False if it counts
  // as missing here.
  bool ApplyListed(Time now, const DirectoryEntry& entry);
  // Whether the entry is known from a restored backup only, and its endpoint
  // was removed before.
  bool MustQuarantine(Time now, const DirectoryEntry& entry) const;
  void Quarantine(Time now, const DirectoryEntry& entry);
  // Returns false if the entry was rejected.
  bool Apply(Time now, DirectoryEntry entry);
  // Removes the entry and records that the store removed it.
  void Drop(Time now, const std::string& id);
  // The entry is missing from the store: keeps it for a while if it may only
  // have lapsed.
  void OnMissing(Time now, const std::string& id);
  // Reports that the store's list, as this box read it, lacks the entry.
  void AnnounceMissing(Time now, const std::string& id);
  // Marks the entry as missing until that time, unless it is marked. Returns
  // whether it was not.
  bool MarkMissing(Time now, const std::string& id, Time until);
  void Remove(const std::string& id);
  // Passes all entries to the table, or the state of one id.
  void UpdateTable(Time now);
  void UpdateTableEntry(Time now, const std::string& id);
  // Decides again which missing entries get new work, and tells the table.
  void UpdateWithheld();
  // Counts the missing entries of each service. Returns whether other services
  // than before have most of theirs missing.
  bool CountMissing();
  // Tells the table which endpoints are withheld.
  void PassWithheld();
  void ReportToTable(Time now, const DirectoryEntry& entry);

  EndpointTable* table_;
  Options options_;
  Events events_;
  std::shared_ptr<const ServiceConfiguration> config_;
  std::map<std::string, DirectoryEntry> entries_;
  MissingEntries missing_;
  struct QuarantinedEntry {
    DirectoryEntry entry;
    Time until{};
  };
  std::map<std::string, QuarantinedEntry> quarantined_;
  Time quarantine_until_{};
  ListChanges changes_;
  std::map<std::string, Incarnations> incarnations_;
  Time next_erase_{};
  std::set<std::string> unusable_;
  uint64_t state_ = 0;
  EntrySource source_ = EntrySource::kStoreList;  // of the update in progress
  Time lapse_grace_end_{};  // until then, missing entries may only have lapsed
  Time restore_grace_end_{};  // until then, the store's restore explains them
};

}  // namespace pinford

#endif  // PINFORD_FORWARDING_ENDPOINT_DIRECTORY_H_
