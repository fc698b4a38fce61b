// The body of a response that is collected before it is forwarded.
//
// All bodies of a box add to one total, which its owner bounds: the limit of
// one body alone does not bound the memory of a box if many endpoints send
// bodies without end at once. A body is kept in pieces, because a growing
// string is copied and needs up to three times its size meanwhile.

#ifndef PINFORD_FORWARDING_COLLECTED_BODY_H_
#define PINFORD_FORWARDING_COLLECTED_BODY_H_

#include <cstddef>
#include <deque>
#include <string>

namespace pinford {

class CollectedBody {
 public:
  // `total`: bytes held by all bodies of the box. It must outlive the body.
  explicit CollectedBody(size_t* total) : total_(total) {}
  ~CollectedBody() { Clear(); }
  CollectedBody(const CollectedBody&) = delete;
  CollectedBody& operator=(const CollectedBody&) = delete;

  void Append(std::string bytes);
  void Clear();
  // Returns the whole body and clears this one.
  std::string Take();

  size_t size() const { return size_; }

 private:
  size_t* total_;
  size_t size_ = 0;
  std::deque<std::string> pieces_;
};

}  // namespace pinford

#endif  // PINFORD_FORWARDING_COLLECTED_BODY_H_
