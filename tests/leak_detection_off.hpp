#pragma once

#include <CppUTest/TestHarness.h>
// Needs the header above.
#include <CppUTest/MemoryLeakWarningPlugin.h>

namespace fuchsiaquay::testing {

/// For libraries that allocate from threads of their own or keep global objects, which CppUTest's
/// leak detection cannot handle. Leaks are looked for by the address sanitizer.
inline const bool leak_detection_off = [] {
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    return true;
}();

}  // namespace fuchsiaquay::testing
