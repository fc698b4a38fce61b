#include <unistd.h>

#include <fstream>
#include <iterator>
#include <sstream>
#include <string>

#include "pinford/testing/process_usage.h"

namespace pinford {

double ProcessorSeconds(pid_t pid) {
  std::ifstream in("/proc/" + std::to_string(pid) + "/stat");
  std::string text((std::istreambuf_iterator<char>(in)), {});
  std::istringstream fields(text.substr(text.rfind(')') + 2));
  std::string skip;
  for (int i = 0; i < 11; i++) fields >> skip;
  double user = 0;
  double system = 0;
  fields >> user >> system;
  return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

// A field of the process's status that is given in kB.
static double StatusMegabytes(pid_t pid, const std::string& field) {
  std::ifstream in("/proc/" + std::to_string(pid) + "/status");
  std::string line;
  while (std::getline(in, line)) {
    if (line.starts_with(field)) {
      return strtod(line.c_str() + field.size(), nullptr) / 1024;
    }
  }
  return 0;
}

double ResidentMegabytes(pid_t pid) { return StatusMegabytes(pid, "VmRSS:"); }

double PeakMegabytes(pid_t pid) { return StatusMegabytes(pid, "VmHWM:"); }

}  // namespace pinford
