// Headers that extend HTTP on forwarded requests and their responses, and the
// encoding of some of their values.
//
// A deployment defines the header names; the defaults below are pinford's own.
// The forwarding path knows nothing else of a deployment's protocol.

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
  // Set by the caller.
  std::string request_id = "X-Pinford-Request";
  std::string key = "X-Key";              // identifies the customer
  std::string time_left = "X-Time-Left";  // ms; rewritten for the endpoint
  std::string last_event = "Last-Event-ID";
  std::string tokens = "X-Tokens";  // of the prompt, and maximum response
  std::string prompt_parts = "X-Prompt-Parts";  // shared with other requests
  // Set by pinford for the endpoint; values from the caller are dropped.
  std::string customer = "X-Customer";
  std::string instance = "X-Instance";  // the incarnation that is addressed
  std::string chain = "X-Chain";
  std::string urgency = "X-Priority";  // 0 is the most urgent
  // Set by the endpoint.
  std::string not_run = "X-Not-Run";
  std::string seal = "X-Seal";  // marks a response as produced by the endpoint
  std::string load = "X-Load";  // not forwarded
  std::string at_fault = "X-At-Fault";      // the stage that refused
  std::string retry_after = "Retry-After";  // seconds, with a refusal
  std::string leaving = "X-Leaving";        // 1: the endpoint is leaving
  // Requests per second that the endpoint takes from all boxes together.
  std::string rate_limit = "X-Rate-Limit";
};

// One stage of a chain, with the address by which endpoints know it.
struct AddressedStage {
  Address at;
  LayerRange range;
};

struct TokenCounts {
  int prompt = 0;
  int answer = 0;  // maximum
};

struct ForwardProtocol {
  ForwardHeaders headers;
  std::function<std::string(const std::vector<AddressedStage>&)> write_chain =
      [](const std::vector<AddressedStage>&) { return std::string(); };
  std::function<std::optional<TokenCounts>(std::string_view)> read_tokens =
      [](std::string_view) { return std::nullopt; };
  // Returns the names of a prompt's parts, in order; none if malformed.
  std::function<std::vector<std::string>(std::string_view)> read_prompt_parts =
      [](std::string_view) { return std::vector<std::string>(); };
};

}  // namespace pinford

#endif  // PINFORD_FORWARDING_FORWARD_PROTOCOL_H_
