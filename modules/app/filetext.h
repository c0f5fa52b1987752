#pragma once

#include <istream>
#include <string>

namespace lagoonroute
{

/** Returns everything that the stream has left. */
std::string readAll(std::istream &stream);

/** Returns the content of a file. Throws InvalidDocument when it cannot be read. */
std::string readFile(const std::string &path);

} // namespace lagoonroute
