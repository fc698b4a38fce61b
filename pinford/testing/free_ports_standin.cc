// Ports are allocated in blocks. A process reserves a whole block by locking a
// file until it exits, so that concurrent tests cannot take each other's ports
// between checking that a port is free and listening on it.

#include <arpa/inet.h>
#include <fcntl.h>
#include <sys/file.h>
#include <sys/socket.h>
#include <unistd.h>

#include <filesystem>
#include <random>
#include <string>

#include "pinford/testing/free_ports.h"

namespace pinford {

static constexpr int kFirstPort = 11000;
static constexpr int kPortsPerBlock = 250;
static constexpr int kBlockCount = 80;

static bool CanBind(int port, int type) {
  const int fd = socket(AF_INET, type, 0);
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_port = htons(static_cast<uint16_t>(port));
  at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const bool ok = bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof(at)) == 0;
  close(fd);
  return ok;
}

// Reserves block `k` for this process. The lock is released when it exits.
static bool LockBlock(int k) {
  const std::string file = std::filesystem::temp_directory_path() /
                           ("pinford-ports-" + std::to_string(k));
  const int fd = open(file.c_str(), O_CREAT | O_RDWR | O_CLOEXEC, 0666);
  if (fd < 0) return false;
  if (flock(fd, LOCK_EX | LOCK_NB) == 0) return true;
  close(fd);
  return false;
}

// The ports of this process's blocks that have not been returned yet.
static std::vector<int>& AvailablePorts() {
  static std::vector<int> ports;
  return ports;
}

// Reserves one more block. Returns false if all of them are reserved.
static bool LockAnotherBlock() {
  std::random_device device;
  std::mt19937 random(device());
  const int first = static_cast<int>(random() % kBlockCount);
  for (int i = 0; i < kBlockCount; i++) {
    const int k = (first + i) % kBlockCount;
    if (!LockBlock(k)) continue;
    // Ports are returned from the end of the vector.
    for (int port = kFirstPort + (k + 1) * kPortsPerBlock - 1;
         port >= kFirstPort + k * kPortsPerBlock; port--) {
      AvailablePorts().push_back(port);
    }
    return true;
  }
  return false;
}

std::vector<int> FreePorts(int count) {
  std::vector<int> ports;
  while (static_cast<int>(ports.size()) < count) {
    if (AvailablePorts().empty() && !LockAnotherBlock()) break;
    const int port = AvailablePorts().back();
    AvailablePorts().pop_back();
    if (CanBind(port, SOCK_STREAM) && CanBind(port, SOCK_DGRAM)) {
      ports.push_back(port);
    }
  }
  return ports;
}

}  // namespace pinford
