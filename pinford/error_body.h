// The JSON body of error responses that the router itself generates.

#ifndef PINFORD_ERROR_BODY_H_
#define PINFORD_ERROR_BODY_H_

#include <string>
#include <string_view>

#include "pinford/outcome.h"

namespace pinford {

// {"error":{"code":..., "message":...},"outcome":...}
std::string ErrorBody(std::string_view code, std::string_view message,
                      Outcome outcome);

}  // namespace pinford

#endif  // PINFORD_ERROR_BODY_H_
