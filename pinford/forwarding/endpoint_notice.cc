#include "pinford/forwarding/endpoint_notice.h"

#include "pinford/retry_after.h"

namespace pinford {

EndpointNotice ReadNotice(const HttpHead& answer, const ForwardHeaders& names) {
  EndpointNotice notice;
  notice.backoff =
      RequestedBackoff(answer.status, answer.header(names.retry_after));
  // It may come from another endpoint that the address was reassigned to.
  if (answer.status == kMisdirectedRequest) {
    notice.rate_limit.kind = RateLimitNotice::Kind::kUnknown;
    return notice;
  }
  notice.leaving = ParseLeaving(answer.header(names.leaving));
  notice.rate_limit =
      ParseRateLimit(answer.header(names.rate_limit),
                     static_cast<int>(answer.CountOf(names.rate_limit)));
  return notice;
}

}  // namespace pinford
