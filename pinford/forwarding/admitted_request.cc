#include "pinford/forwarding/admitted_request.h"

#include <algorithm>
#include <utility>

#include "pinford/forwarding/forwarder.h"
#include "pinford/forwarding/request_fingerprint.h"

namespace pinford {

// Fractions of the latency objective after which a response that has not begun
// is requested elsewhere, so that another attempt can still be in time.
static constexpr double kFirstEventFraction = 0.45, kAnswerFraction = 0.5;
// The same for the longest gap between events. A new run must prefill the
// prompt before it continues, which takes most of the remaining time.
static constexpr double kGapFraction = 0.55;
// Lower bound, as a multiple of the typical time: if all endpoints are slow,
// none is stalled.
static constexpr int kTypicalMultiple = 3;

const std::string& FingerprintOf(const ForwardContext& context,
                                 AdmittedRequest* request) {
  if (!request->fingerprint.empty()) return request->fingerprint;
  const CallerExchange& exchange = *request->exchange;
  request->fingerprint = RequestFingerprint(
      context.fingerprint_key,
      {exchange.head().method, request->route->host, exchange.head().target,
       request->customer, exchange.body()});
  return request->fingerprint;
}

// The names of the parts that the request gives; none if it gives no list or
// more than one.
static std::vector<std::string> PromptPartsOf(const ForwardContext& context,
                                              const HttpHead& head) {
  const std::string& name = context.protocol.headers.prompt_parts;
  if (head.CountOf(name) != 1) return {};
  return context.protocol.read_prompt_parts(head.header(name));
}

const std::vector<std::string>& PartFingerprintsOf(
    const ForwardContext& context, AdmittedRequest* request) {
  if (request->part_fingerprints) return *request->part_fingerprints;
  std::vector<std::string> parts =
      PromptPartsOf(context, request->exchange->head());
  if (!parts.empty()) parts.pop_back();  // the request's own
  std::vector<std::string>& out = request->part_fingerprints.emplace();
  for (const std::string& part : parts) {
    if (out.size() >= kMaxPromptParts) break;
    std::string fingerprint =
        PromptPartFingerprint(context.fingerprint_key, request->service, part);
    const bool repeated =
        std::find(out.begin(), out.end(), fingerprint) != out.end();
    if (!repeated) out.push_back(std::move(fingerprint));
  }
  return out;
}

std::vector<std::string> FeaturesOf(const ForwardContext& context,
                                    AdmittedRequest* request) {
  std::vector<std::string> features = PartFingerprintsOf(context, request);
  features.push_back(FingerprintOf(context, request));
  return features;
}

RequestFacts FactsOf(const AdmittedRequest& order) {
  RequestFacts facts;
  facts.customer = order.customer;
  facts.model = order.service;
  facts.kind = order.route->name;
  facts.prompt_bytes = static_cast<int>(order.exchange->body().size());
  facts.priority = order.priority;
  return facts;
}

ForwardTarget::Options TargetOptions(const ForwardContext& context,
                                     const AdmittedRequest& order) {
  ForwardTarget::Options options;
  options.service = order.service;
  options.version = order.request_class.version;
  options.hall_weight = [&context,
                         service = order.service](const std::string& hall) {
    return context.hall_weight(service, hall);
  };
  const ServiceSpec* spec =
      order.routes->configuration().Service(order.service);
  if (spec == nullptr || !spec->engine) return options;
  options.layers = spec->engine->layers;
  const auto tokens = context.protocol.read_tokens(
      order.exchange->head().header(context.protocol.headers.tokens));
  if (!tokens) return options;
  // Responses rarely reach their maximum length.
  const int typical = spec->engine->mean_answer_tokens;
  const int answer =
      typical > 0 ? std::min(tokens->answer, typical) : tokens->answer;
  options.prompt = tokens->prompt;
  options.layer_work = (tokens->prompt + answer) / 1000.0;
  return options;
}

Duration SilenceTimeout(const Route& route, bool stream_started,
                        Duration typical) {
  const auto fraction_of = [](double fraction, Duration duration) {
    return FromSeconds(fraction * ToSeconds(duration));
  };
  if (route.kind != RequestKind::kStream) {
    return fraction_of(kAnswerFraction, route.target_latency);
  }
  const Duration limit =
      stream_started ? fraction_of(kGapFraction, route.target_gap)
                     : fraction_of(kFirstEventFraction, route.target_latency);
  return std::max(limit, kTypicalMultiple * typical);
}

int UrgencyOf(Tier tier) { return 2 * static_cast<int>(tier); }

}  // namespace pinford
