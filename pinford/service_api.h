// HTTP for callers: plain calls, under /services/NAME/.

#ifndef PINFORD_SERVICE_API_H_
#define PINFORD_SERVICE_API_H_

#include <string>

#include "pinford/box_context.h"
#include "pinford/http_server.h"
#include "pinford/once_call.h"

namespace pinford {

inline constexpr char kServicesPath[] = "/services/";

class CallApi {
 public:
  explicit CallApi(BoxContext* parts) : parts_(parts) {}

  // Takes a request whose path begins with kServicesPath.
  void OnRequest(ExchangePtr exchange);

  // Calls that are not over. One whose caller has gone may still run.
  int active() const { return active_; }

 private:
  using Call = OnceCall<StoreClient, PlainClient, EventLoop>;

  void Start(const ExchangePtr& exchange, ServiceCall call);
  void Answer(const ExchangePtr& exchange, const std::string& id,
              const CallEnd& end);

  BoxContext* parts_;
  int active_ = 0;
};

}  // namespace pinford

#endif  // PINFORD_SERVICE_API_H_
