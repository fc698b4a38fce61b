// Asks every listed endpoint for its load, over and over.

#ifndef PINFORD_LOAD_POLLER_H_
#define PINFORD_LOAD_POLLER_H_

#include <set>
#include <string>

#include "pinford/box_parts.h"

namespace pinford {

class LoadPoller {
 public:
  explicit LoadPoller(BoxParts* context) : context_(context) {}

  // Asks each endpoint that is not being asked. Call it once an interval.
  void Poll();
  // Whether every listed endpoint has answered, or failed to, at least once.
  // Before that this box cannot tell a caller what there is.
  bool polled_all() const;

 private:
  void OnResponse(const std::string& name, Time sent_at,
                  const HttpResult& result);

  BoxParts* context_;
  std::set<std::string> in_flight_;
  std::set<std::string> polled_;
};

}  // namespace pinford

#endif  // PINFORD_LOAD_POLLER_H_
