#include "drivers/http/http_thread_count.hpp"

#include <pplx/threadpool.h>

namespace fuchsiaquay {

void set_http_thread_count(int count) {
    crossplat::threadpool::initialize_with_threads(static_cast<std::size_t>(count));
}

}  // namespace fuchsiaquay
