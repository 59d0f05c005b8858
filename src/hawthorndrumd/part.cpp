/// Links the part together.
#include "base/findings.h"
