#include "pinford/forwarding/missing_gossip.h"

#include <algorithm>

namespace pinford {

void MissingGossip::OnRead(const std::string& endpoint, uint64_t incarnation) {
  read_.push_back({endpoint, incarnation, 0});
}

void MissingGossip::OnListVersion(Time now, uint64_t version) {
  if (version != 0) {
    for (MissingEntry& entry : read_) {
      entry.list_version = version;
      pending_.push_back({std::move(entry), now + options_.delay});
    }
  }
  read_.clear();
}

void MissingGossip::OnNews(const MissingEntry& entry) {
  news_.push_back(entry);
}

MissingNotice MissingGossip::TakeRead(Time now) {
  MissingNotice notice;
  const auto due =
      std::find_if(pending_.begin(), pending_.end(),
                   [now](const Pending& pending) { return pending.due > now; });
  const auto end =
      pending_.begin() +
      std::min<ptrdiff_t>(due - pending_.begin(), kMaxMissingEntries);
  for (auto it = pending_.begin(); it != end; ++it) {
    notice.entries.push_back(std::move(it->entry));
  }
  pending_.erase(pending_.begin(), end);
  return notice;
}

MissingNotice MissingGossip::TakeNews() {
  MissingNotice notice;
  const auto end = news_.begin() +
                   std::min<ptrdiff_t>(std::ssize(news_), kMaxMissingEntries);
  notice.entries.assign(news_.begin(), end);
  news_.erase(news_.begin(), end);
  return notice;
}

}  // namespace pinford
