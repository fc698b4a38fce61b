// Asks every listed endpoint for its load, over and over.

#ifndef PINFORD_LOAD_POLLER_H_
#define PINFORD_LOAD_POLLER_H_

#include <set>
#include <string>

#include "pinford/box_context.h"

namespace pinford {

class LoadPoller {
 public:
  explicit LoadPoller(BoxContext* parts) : parts_(parts) {}

  // Asks each endpoint that is not being asked. Call it once an interval.
  void Poll();
  // Whether every listed endpoint has answered, or failed to, at least once.
  // Before that this box cannot tell a caller what there is.
  bool heard_all() const;

 private:
  void OnAnswer(const std::string& name, Time asked, const HttpResult& result);

  BoxContext* parts_;
  std::set<std::string> asking_;
  std::set<std::string> heard_;
};

}  // namespace pinford

#endif  // PINFORD_LOAD_POLLER_H_
