# Third-party libraries, wrapped as interface targets with warnings off for
# their headers.

find_package(PkgConfig REQUIRED)
find_package(absl REQUIRED)
find_package(nlohmann_json REQUIRED)
find_package(OpenSSL REQUIRED)
find_package(prometheus-cpp REQUIRED)
find_package(tl-expected REQUIRED)
find_package(yaml-cpp REQUIRED)
pkg_check_modules(LIBEVENT REQUIRED IMPORTED_TARGET libevent)
pkg_check_modules(XXHASH REQUIRED IMPORTED_TARGET libxxhash)

# easylogging++ ships as a source file that each program compiles once.
find_path(EASYLOGGING_SOURCE_DIR easylogging++.cc REQUIRED)
add_library(easylogging STATIC "${EASYLOGGING_SOURCE_DIR}/easylogging++.cc")
target_compile_definitions(easylogging PUBLIC
  ELPP_NO_DEFAULT_LOG_FILE ELPP_DISABLE_DEFAULT_CRASH_HANDLING ELPP_NO_LOG_TO_FILE)
target_compile_options(easylogging PRIVATE -w)

if(PIMENTOLADDER_TESTS)
  find_package(doctest REQUIRED)
  find_library(RAPIDCHECK_LIBRARY rapidcheck REQUIRED)
  add_library(pimentoladder_test_libraries INTERFACE)
  target_link_libraries(pimentoladder_test_libraries INTERFACE doctest::doctest "${RAPIDCHECK_LIBRARY}")
endif()
