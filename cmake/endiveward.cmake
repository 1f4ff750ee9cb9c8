# Declares the library of a package; globs sources of the package and its
# modules, except tests.
#   endiveward_package(<name> [DEPENDS <target>...])
function(endiveward_package name)
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  file(GLOB_RECURSE sources CONFIGURE_DEPENDS
       ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
  list(FILTER sources EXCLUDE REGEX "/tests/")
  if(NOT sources)
    add_library(endiveward_${name} INTERFACE)
    target_include_directories(endiveward_${name}
                               INTERFACE ${CMAKE_SOURCE_DIR}/packages)
    target_link_libraries(endiveward_${name} INTERFACE ${ARG_DEPENDS}
                                                       Threads::Threads)
    return()
  endif()
  add_library(endiveward_${name} STATIC ${sources})
  target_include_directories(endiveward_${name}
                             PUBLIC ${CMAKE_SOURCE_DIR}/packages)
  target_compile_options(endiveward_${name} PRIVATE -Wall -Wextra -Werror)
  # Asio chooses its allocator by what was included before it; the definition
  # makes all files agree, since memory passes between them.
  target_compile_definitions(
    endiveward_${name} PUBLIC ASIO_STANDALONE ASIO_HAS_STD_ALIGNED_ALLOC=1)
  target_link_libraries(endiveward_${name} PUBLIC ${ARG_DEPENDS}
                                                  Threads::Threads)
endfunction()

# Declares one Catch2 executable from the test files of a package and registers
# each test case with CTest.
#   endiveward_tests(<name> [DEPENDS <target>...] [ENVIRONMENT <name=value>])
function(endiveward_tests name)
  if(NOT ENDIVEWARD_BUILD_TESTS)
    return()
  endif()
  cmake_parse_arguments(ARG "" "ENVIRONMENT" "DEPENDS" ${ARGN})
  file(GLOB_RECURSE sources CONFIGURE_DEPENDS
       ${CMAKE_CURRENT_SOURCE_DIR}/*_test.cpp)
  # Soak and crowds are programs of their own.
  list(FILTER sources EXCLUDE REGEX "/tests/(soak|crowd)/")
  if(NOT sources)
    return()
  endif()
  add_executable(endiveward_${name}_tests ${sources})
  target_compile_options(endiveward_${name}_tests PRIVATE -Wall -Wextra
                                                          -Werror)
  target_link_libraries(endiveward_${name}_tests PRIVATE ${ARG_DEPENDS}
                                                         endiveward_test_main)
  catch_discover_tests(endiveward_${name}_tests TEST_PREFIX "${name}: "
                       PROPERTIES TIMEOUT 120 ENVIRONMENT "${ARG_ENVIRONMENT}")
endfunction()
