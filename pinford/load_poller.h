// Polls the load reports of all listed endpoints.

#ifndef PINFORD_LOAD_POLLER_H_
#define PINFORD_LOAD_POLLER_H_

#include <set>
#include <string>

#include "pinford/box_context.h"

namespace pinford {

class LoadPoller {
 public:
  explicit LoadPoller(BoxContext* context) : context_(context) {}

  // Polls each endpoint that has no poll in flight. Must be called once per
  // report interval.
  void Poll();
  // Whether every listed endpoint has responded, or failed to, at least once.
  // Before that, this box does not know what the endpoints can serve.
  bool polled_all() const;

 private:
  void OnResponse(const std::string& name, Time sent_at,
                  const HttpResult& result);

  BoxContext* context_;
  std::set<std::string> in_flight_;
  std::set<std::string> polled_;
};

}  // namespace pinford

#endif  // PINFORD_LOAD_POLLER_H_
