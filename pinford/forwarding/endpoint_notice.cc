#include "pinford/forwarding/endpoint_notice.h"

#include "pinford/retry_after.h"

namespace pinford {

EndpointNotice ReadNotice(const HttpHead& answer, const ForwardHeaders& names) {
  constexpr int kMisdirected = 421;
  EndpointNotice notice;
  notice.backoff =
      RequestedBackoff(answer.status, answer.header(names.retry_after));
  // 421 may come from another endpoint that the address was reassigned to.
  notice.leaving = answer.status != kMisdirected &&
                   ParseLeaving(answer.header(names.leaving));
  return notice;
}

}  // namespace pinford
