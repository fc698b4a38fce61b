// The JSON body of an answer that pinford gives itself.

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
