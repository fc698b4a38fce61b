// The callers' HTTP interface to services, under /services/NAME/.

#ifndef PINFORD_SERVICE_API_H_
#define PINFORD_SERVICE_API_H_

#include <string>

#include "pinford/box_context.h"
#include "pinford/http_server.h"
#include "pinford/once_call.h"

namespace pinford {

inline constexpr char kServicesPath[] = "/services/";

class ServiceApi {
 public:
  explicit ServiceApi(BoxContext* context) : context_(context) {}

  // Handles a request whose path begins with kServicesPath.
  void OnRequest(ExchangePtr exchange);

  // Calls in progress. A call may go on after its caller disconnects.
  int active() const { return active_; }

 private:
  using Call = OnceCall<StoreClient, HttpServiceClient, EventLoop>;

  void Start(const ExchangePtr& exchange, ServiceCall call);
  void Respond(const ExchangePtr& exchange, const std::string& id,
               const CallEnd& end);

  BoxContext* context_;
  int active_ = 0;
};

}  // namespace pinford

#endif  // PINFORD_SERVICE_API_H_
