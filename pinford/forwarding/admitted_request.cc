#include "pinford/forwarding/admitted_request.h"

#include <algorithm>

#include "pinford/forwarding/forwarder.h"

namespace pinford {

// Parts of the latency objective after which an answer that has not begun is
// looked for elsewhere, so that another attempt can still be in time.
static constexpr double kFirstEventShare = 0.45, kAnswerShare = 0.5;
// The same of the longest pause between events: a new run reads the prompt
// before it goes on, which takes most of the rest.
static constexpr double kGapShare = 0.55;
// ... but no sooner than this many times what is usual: where all are slow,
// none stands still.
static constexpr int kUsualTimes = 3;

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
  // The most that an answer may have is rarely reached.
  const int usual = spec->engine->mean_answer_tokens;
  const int answer =
      usual > 0 ? std::min(tokens->answer, usual) : tokens->answer;
  options.prompt = tokens->prompt;
  options.layer_work = (tokens->prompt + answer) / 1000.0;
  return options;
}

Duration SilenceTimeout(const Route& route, bool begun, Duration usual) {
  const auto part = [](double share, Duration of) {
    return FromSeconds(share * ToSeconds(of));
  };
  if (route.kind != RequestKind::kStream) {
    return part(kAnswerShare, route.target_latency);
  }
  const Duration limit = begun ? part(kGapShare, route.target_gap)
                               : part(kFirstEventShare, route.target_latency);
  return std::max(limit, kUsualTimes * usual);
}

int UrgencyOf(Tier tier) { return 2 * static_cast<int>(tier); }

}  // namespace pinford
