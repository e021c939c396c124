#include "drivers/http/traffic_threads.hpp"

#include <pplx/threadpool.h>

namespace fuchsiaquay {

void set_traffic_threads(int count) {
    crossplat::threadpool::initialize_with_threads(static_cast<std::size_t>(count));
}

}  // namespace fuchsiaquay
