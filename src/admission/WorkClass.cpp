#include "daisyspool/admission/WorkClass.h"

namespace daisyspool {

const char *toString(WorkClass Class) {
  switch (Class) {
  case WorkClass::Urgent:
    return "urgent";
  case WorkClass::Session:
    return "session";
  case WorkClass::Standard:
    return "standard";
  case WorkClass::Batch:
    return "batch";
  }
  return "unknown";
}

} // namespace daisyspool
