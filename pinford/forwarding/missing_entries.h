// Entries that are missing from the store's list although their endpoints may
// be alive, and whether these endpoints get new work meanwhile.
//
// An entry that this box finds missing after a time in which the store did not
// answer it has either lapsed in an outage of the store, and is back within
// seconds of the store's return, or its endpoint has left without notice. The
// box cannot tell: the store may have answered all boxes but this one. It keeps
// the entry for a while, so that requests in progress go on, and gives the
// endpoint no new work: one that has left must not get any, and the other
// endpoints of the service can do without one that has not.
//
// If more than half of a service's entries are missing, they have most likely
// lapsed together. Their endpoints are then used as before, since an outage of
// the store must not cost callers the service. So are those whose entries are
// missing because the store was restored from a backup, which is certain.
//
// A peer may report that a version of the list that this box does not have yet
// lacks an entry (missing_gossip.h). Its endpoint gets no new work either until
// this box's list is as recent.
//
// No I/O.

#ifndef PINFORD_FORWARDING_MISSING_ENTRIES_H_
#define PINFORD_FORWARDING_MISSING_ENTRIES_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "pinford/forwarding/directory_entry.h"
#include "util/clock.h"

namespace pinford {

class MissingEntries {
 public:
  // The entry is missing, and is to be removed at `until` unless it is back.
  // An earlier time replaces a later one. `restored`: a restore of the store
  // explains it. Returns false if it was missing already.
  bool Add(const std::string& id, Time until, bool restored);
  // The entry is back, or was removed. Returns whether it was missing.
  bool Erase(const std::string& id);
  // A peer reports that the list of that version lacks the entry. Returns false
  // if it was missing or reported already.
  bool Report(const std::string& id, uint64_t list_version);
  // The entry was removed, or belongs to a newer incarnation.
  void EraseReport(const std::string& id);
  // The list has reached that version, which shows what became of the entries
  // that were reported up to it. Returns these.
  std::vector<std::string> TakeReports(uint64_t list_version);
  // When the entry is to be removed; nullopt if it is not missing.
  std::optional<Time> RemovalTime(const std::string& id) const;
  // The entries that are to be removed by now.
  std::vector<std::string> Expired(Time now) const;
  bool empty() const { return entries_.empty(); }
  size_t size() const { return entries_.size(); }

  // Decides again which services have most of their entries missing, if an
  // entry was added or erased since the last call. Linear in `listed`; entries
  // added meanwhile are withheld unless their service already was among these.
  // Returns whether the set of these services changed.
  bool Recount(const std::map<std::string, DirectoryEntry>& listed);
  const std::set<std::string>& mostly_missing() const {
    return mostly_missing_;
  }
  // Whether the endpoint, of that service, is to get no new work.
  bool IsWithheld(const std::string& id, const std::string& service) const {
    const auto it = entries_.find(id);
    const bool missing = it != entries_.end() && !it->second.restored;
    return (missing || reports_.contains(id)) &&
           !mostly_missing_.contains(service);
  }

 private:
  struct Entry {
    Time until{};
    bool restored = false;
  };
  std::map<std::string, Entry> entries_;     // by id
  std::map<std::string, uint64_t> reports_;  // list versions, by id
  std::set<std::string> mostly_missing_;     // services
  bool changed_ = false;                     // since the last recount
};

}  // namespace pinford

#endif  // PINFORD_FORWARDING_MISSING_ENTRIES_H_
