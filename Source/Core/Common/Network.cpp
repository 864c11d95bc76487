// The one translation unit that holds the compiled parts of Asio and Beast.

#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
