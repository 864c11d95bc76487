// The translation unit that contains the compiled parts of Asio and Beast.

#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
