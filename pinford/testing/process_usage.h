// A process's CPU time and memory, from /proc.

#ifndef PINFORD_TESTING_PROCESS_USAGE_H_
#define PINFORD_TESTING_PROCESS_USAGE_H_

#include <sys/types.h>

namespace pinford {

// CPU time, user and system.
double ProcessorSeconds(pid_t pid);
double ResidentMegabytes(pid_t pid);
// The largest that ResidentMegabytes has been.
double PeakMegabytes(pid_t pid);

}  // namespace pinford

#endif  // PINFORD_TESTING_PROCESS_USAGE_H_
