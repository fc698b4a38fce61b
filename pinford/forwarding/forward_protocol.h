// The headers by which forwarded requests are told more than HTTP says, and
// how some of their values are written.
//
// Which names they have is a matter of the deployment; the values below are
// pinford's own names. Nothing but this is known of a deployment's protocol
// on the forwarding path.

#ifndef PINFORD_FORWARDING_FORWARD_PROTOCOL_H_
#define PINFORD_FORWARDING_FORWARD_PROTOCOL_H_

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "pinford/pipeline.h"
#include "util/address.h"

namespace pinford {

struct ForwardHeaders {
  // From the caller.
  std::string request_id = "X-Pinford-Request";
  std::string key = "X-Key";              // which customer it is
  std::string time_left = "X-Time-Left";  // ms; set anew for the endpoint
  std::string last_event = "Last-Event-ID";
  std::string tokens = "X-Tokens";  // of the prompt, and at most of the answer
  // To the endpoint; a caller's own are dropped.
  std::string customer = "X-Customer";
  std::string instance = "X-Instance";  // the life that is meant
  std::string chain = "X-Chain";
  std::string urgency = "X-Priority";  // 0 is the most urgent
  // From the endpoint.
  std::string not_run = "X-Not-Run";
  std::string seal = "X-Seal";          // marks an answer as the endpoint's own
  std::string load = "X-Load";          // not passed on
  std::string at_fault = "X-At-Fault";  // the stage that refused
  std::string retry_after = "Retry-After";  // seconds, of who turns away
  std::string leaving = "X-Leaving";        // 1: it leaves
};

// One stage of a chain as the endpoints know it.
struct AddressedStage {
  Address at;
  LayerRange range;
};

struct TokenCounts {
  int prompt = 0;
  int answer = 0;  // at most
};

struct ForwardProtocol {
  ForwardHeaders headers;
  std::function<std::string(const std::vector<AddressedStage>&)> write_chain =
      [](const std::vector<AddressedStage>&) { return std::string(); };
  std::function<std::optional<TokenCounts>(std::string_view)> read_tokens =
      [](std::string_view) { return std::nullopt; };
};

}  // namespace pinford

#endif  // PINFORD_FORWARDING_FORWARD_PROTOCOL_H_
