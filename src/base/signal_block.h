#pragma once

#include <initializer_list>

namespace heatherdrift {

/// Defers the signals of the calling thread, and of threads that it starts later, until unblockSignals(). The default
/// action of a signal that controls a process ends it, which must not happen before its handler is installed.
void blockSignals(std::initializer_list<int> signals);

/// Delivers the signals to the calling thread again, also those that have arrived in the meantime.
void unblockSignals(std::initializer_list<int> signals);

} // namespace heatherdrift
