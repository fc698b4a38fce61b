// Allocation of free loopback ports for tests and scripts.

#ifndef PINFORD_TESTING_FREE_PORTS_H_
#define PINFORD_TESTING_FREE_PORTS_H_

#include <vector>

namespace pinford {

// Returns `count` different ports of 127.0.0.1 that are bound for neither TCP
// nor UDP, or fewer if not enough are free. They lie below the kernel's
// ephemeral port range, so that no outgoing connection can take one before it
// is used. This function returns none of them to another process until this one
// exits.
std::vector<int> FreePorts(int count);

}  // namespace pinford

#endif  // PINFORD_TESTING_FREE_PORTS_H_
