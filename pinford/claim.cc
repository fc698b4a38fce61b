#include "pinford/claim.h"

#include "util/enum_names.h"
#include "util/hash.h"
#include "util/json.h"

namespace pinford {

static constexpr EnumName<ClaimState> kClaimStateNames[] = {
    {ClaimState::kClaimed, "claimed"},
    {ClaimState::kAbandoned, "abandoned"},
    {ClaimState::kDone, "done"},
};

std::string ClaimKey(std::string_view customer, std::string_view service,
                     std::string_view idempotency_key) {
  // The length prefixes keep the parts apart, whatever bytes they contain.
  std::string text = std::to_string(customer.size()) + ":" +
                     std::to_string(service.size()) + ":";
  text.append(customer).append(service).append(idempotency_key);
  return "pinford/claims/" + Hash128Hex(text);
}

std::string WriteClaim(const Claim& c) {
  Json v{{"attempt", c.attempt}, {"state", NameIn(kClaimStateNames, c.state)}};
  if (c.state == ClaimState::kDone) {
    v["outcome"] = OutcomeName(c.outcome);
    v["status"] = c.status;
    v["type"] = c.type;
    if (c.body.size() <= kMaxClaimBody) v["body"] = c.body;
  }
  return DumpJson(v);
}

std::optional<Claim> ParseClaim(std::string_view json) {
  const Json v = ParseJson(json);
  Claim c;
  c.attempt = JsonField<std::string>(v, "attempt", "");
  auto state =
      ValueIn(kClaimStateNames, JsonField<std::string>(v, "state", ""));
  if (c.attempt.empty() || !state) return std::nullopt;
  c.state = *state;
  c.outcome = ParseOutcome(JsonField<std::string>(v, "outcome", "unknown"))
                  .value_or(Outcome::kUnknown);
  c.status = JsonField(v, "status", 0);
  c.type = JsonField<std::string>(v, "type", "");
  c.body = JsonField<std::string>(v, "body", "");
  return c;
}

}  // namespace pinford
