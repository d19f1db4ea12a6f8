# Functions that declare the libraries, tools and test programs of the project.

add_library(pimentoladder_options INTERFACE)
target_compile_options(pimentoladder_options INTERFACE -Wall -Wextra -Wpedantic -Wshadow -Wzero-as-null-pointer-constant)
if(PIMENTOLADDER_WERROR)
  target_compile_options(pimentoladder_options INTERFACE -Werror)
endif()
target_include_directories(pimentoladder_options INTERFACE "${CMAKE_SOURCE_DIR}/include")
if(PIMENTOLADDER_SANITIZE)
  target_compile_options(pimentoladder_options INTERFACE
    -fsanitize=address,undefined,float-cast-overflow -fno-sanitize-recover=all -fno-omit-frame-pointer)
  target_link_options(pimentoladder_options INTERFACE -fsanitize=address,undefined,float-cast-overflow)
endif()

# add_pimentoladder_library(NAME SOURCES file... [DEPENDS target...])
#
# Declares the static library NAME. The sources are relative to the
# caller's CMakeLists.txt; the public headers are in include/pimentoladder/NAME.
function(add_pimentoladder_library name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_library(${name} STATIC ${ARG_SOURCES})
  target_include_directories(${name} PRIVATE "${CMAKE_CURRENT_SOURCE_DIR}")
  target_link_libraries(${name} PUBLIC pimentoladder_options ${ARG_DEPENDS})
endfunction()

# add_pimentoladder_test_run(NAME PROGRAM [argument...])
#
# Registers a run of a test program with CTest.
function(add_pimentoladder_test_run name program)
  add_test(NAME ${name} COMMAND ${program} ${ARGN})
  # A fixed seed makes the result reproducible. To run other or more cases, start
  # the program directly with RC_PARAMS="seed=N max_success=M".
  set_tests_properties(${name} PROPERTIES TIMEOUT 120 ENVIRONMENT "RC_PARAMS=seed=1")
endfunction()

# add_pimentoladder_unittest(NAME SOURCES file... [DEPENDS target...] [ARGUMENTS argument...])
#
# Declares the one test program of library NAME and registers it with CTest. With
# ARGUMENTS, its run is restricted by doctest's filters, and further runs cover the rest.
function(add_pimentoladder_unittest name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS;ARGUMENTS" ${ARGN})
  add_executable(${name}Tests "${CMAKE_SOURCE_DIR}/unittests/Main.cpp" ${ARG_SOURCES})
  target_link_libraries(${name}Tests PRIVATE ${name} ${ARG_DEPENDS} pimentoladder_test_libraries)
  add_pimentoladder_test_run(${name} ${name}Tests ${ARG_ARGUMENTS})
endfunction()
