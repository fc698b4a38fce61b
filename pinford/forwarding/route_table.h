// Finds the route and the customer of a request.
//
// Built once for each configuration and replaced whole. A route is found by
// host and the longest prefix of the path: prefixes end with a slash, so only
// the slashes of the path are tried, longest first, and a look-up costs the
// same however many routes there are.

#ifndef PINFORD_FORWARDING_ROUTE_TABLE_H_
#define PINFORD_FORWARDING_ROUTE_TABLE_H_

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "pinford/forwarding/service_configuration.h"

namespace pinford {

class RouteTable {
 public:
  explicit RouteTable(std::shared_ptr<const ServiceConfiguration> config);

  const ServiceConfiguration& configuration() const { return *config_; }
  uint64_t version() const { return config_->version; }

  // `host` may carry a port, `target` a query. Null without a route.
  const Route* Find(std::string_view host, std::string_view target) const;
  // Null for a key that no customer has.
  const Customer* CustomerOf(std::string_view key) const;
  // Whether requests on `route` must carry a customer's key.
  bool NeedsKey(const Route& route) const {
    return config_->customers.has_value() && !route.anonymous;
  }

 private:
  using Prefixes = std::unordered_map<std::string, const Route*>;

  std::shared_ptr<const ServiceConfiguration> config_;
  std::unordered_map<std::string, Prefixes> hosts_;  // in lower case
  std::unordered_map<std::string, const Customer*> keys_;
};

// The service for a request, drawn by weight with `draw` from [0, 1). "" if
// no service has any weight.
const std::string& DrawService(const Route& route, double draw);

}  // namespace pinford

#endif  // PINFORD_FORWARDING_ROUTE_TABLE_H_
