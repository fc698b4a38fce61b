// Client of OperatorApi, for the command line.

#ifndef PINFORD_OPERATOR_CLIENT_H_
#define PINFORD_OPERATOR_CLIENT_H_

#include <string>
#include <vector>

#include "pinford/http_client.h"
#include "pinford/policy.h"
#include "util/address.h"

namespace pinford {

// Makes one call and blocks until it ends; kTimeout after 15 s.
HttpResult CallAndWait(HttpCall call);

class OperatorClient {
 public:
  OperatorClient(Address box, std::string key)
      : box_(std::move(box)), key_(std::move(key)) {}

  HttpResult Get(const std::string& target) const;
  HttpResult Submit(const std::string& id, const std::string& author,
                    uint64_t expected_generation,
                    const std::vector<PolicyFile>& files) const;

 private:
  HttpCall Call(HttpMethod method, std::string target) const;

  Address box_;
  std::string key_;
};

}  // namespace pinford

#endif  // PINFORD_OPERATOR_CLIENT_H_
